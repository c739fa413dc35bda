/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.slot;

import org.jspecify.annotations.NullMarked;
