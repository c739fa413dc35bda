/** Slots of a target: online before batch, fair by customer. */
@NullMarked
package org.sesamepin.core.slot;

import org.jspecify.annotations.NullMarked;
