/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.limit;

import org.jspecify.annotations.NullMarked;
