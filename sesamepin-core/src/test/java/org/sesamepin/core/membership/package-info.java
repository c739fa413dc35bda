/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.membership;

import org.jspecify.annotations.NullMarked;
