package org.sesamepin.node.slot;

import org.sesamepin.core.bundle.Target;

/**
 * A slot of a target, held for one online request.
 *
 * @param target the target
 * @param slotId identifies the slot at the owner; 0 for a slot of the local share
 * @param owner host that granted the slot; empty for a slot of this host's local share, which is
 *     used while the target's owner is unreachable
 */
public record SlotLease(Target target, long slotId, String owner) {}
