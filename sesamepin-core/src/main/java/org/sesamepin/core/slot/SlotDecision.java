package org.sesamepin.core.slot;

/** What a target's owner has to do after an event; carried out in the order given. */
public sealed interface SlotDecision {
    /** Batch work in {@code slotId} has to be cancelled at the target now. */
    record Preempt(long slotId) implements SlotDecision {}

    /** The request may be sent to the target. */
    record Grant(OnlineRequest request, long slotId) implements SlotDecision {}

    /** The request was not run: no slot became free before its deadline. */
    record Reject(OnlineRequest request) implements SlotDecision {}
}
