package org.sesamepin.node.slot;

import org.sesamepin.core.bundle.Target;

/**
 * A slot held for one request.
 *
 * @param target the target
 * @param slotId names the slot at its owner
 * @param owner host that granted it; empty for the local share of a target without owner
 */
public record SlotLease(Target target, long slotId, String owner) {}
