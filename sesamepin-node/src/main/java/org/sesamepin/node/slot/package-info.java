/** Slots of targets, granted by one host each. */
@NullMarked
package org.sesamepin.node.slot;

import org.jspecify.annotations.NullMarked;
