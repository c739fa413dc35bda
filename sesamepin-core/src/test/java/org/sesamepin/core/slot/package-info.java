/** Tests of the slot allocation. */
@NullMarked
package org.sesamepin.core.slot;

import org.jspecify.annotations.NullMarked;
