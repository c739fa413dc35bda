/** Tests of this package's decisions. */
@NullMarked
package org.sesamepin.core.fleet;

import org.jspecify.annotations.NullMarked;
