/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.bundle;

import org.jspecify.annotations.NullMarked;
