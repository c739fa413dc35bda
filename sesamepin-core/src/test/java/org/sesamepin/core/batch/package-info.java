/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.batch;

import org.jspecify.annotations.NullMarked;
