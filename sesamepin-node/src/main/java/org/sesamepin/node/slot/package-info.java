/** Grants the slots of targets; each target has one owner among the hosts. */
@NullMarked
package org.sesamepin.node.slot;

import org.jspecify.annotations.NullMarked;
