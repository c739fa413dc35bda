/**
 * Allocation of the slots of a target: online requests before batch items, fair among customers.
 */
@NullMarked
package org.sesamepin.core.slot;

import org.jspecify.annotations.NullMarked;
