package org.sesamepin.core.slot;

/**
 * Action that a target's owner has to carry out after an event. Actions of one event are carried
 * out in the order of the list.
 */
public sealed interface SlotDecision {
    /** The batch item in slot {@code slotId} has to be cancelled at the target immediately. */
    record Preempt(long slotId) implements SlotDecision {}

    /** The request may be sent to the target. */
    record Grant(OnlineRequest request, long slotId) implements SlotDecision {}

    /** The request is rejected without having run: no slot became free before its deadline. */
    record Reject(OnlineRequest request) implements SlotDecision {}
}
