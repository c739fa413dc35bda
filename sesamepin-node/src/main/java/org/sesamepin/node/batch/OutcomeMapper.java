package org.sesamepin.node.batch;

import org.sesamepin.core.batch.ItemOutcome;
import org.sesamepin.node.peer.generated.OutcomeKind;

/**
 * Converts item outcomes to and from their form in peer messages, where {@code ABORTED} stands for
 * {@link ItemOutcome#NOT_STARTED}.
 */
final class OutcomeMapper {
    private OutcomeMapper() {}

    static ItemOutcome fromWire(OutcomeKind kind) {
        return switch (kind) {
            case COMPLETED -> ItemOutcome.COMPLETED;
            case INVALID -> ItemOutcome.INVALID;
            case PREEMPTED -> ItemOutcome.PREEMPTED;
            case TARGET_FAILED -> ItemOutcome.TARGET_FAILED;
            case ABORTED -> ItemOutcome.NOT_STARTED;
        };
    }

    static OutcomeKind toWire(ItemOutcome outcome) {
        return switch (outcome) {
            case COMPLETED -> OutcomeKind.COMPLETED;
            case INVALID -> OutcomeKind.INVALID;
            case PREEMPTED -> OutcomeKind.PREEMPTED;
            case TARGET_FAILED -> OutcomeKind.TARGET_FAILED;
            case NOT_STARTED -> OutcomeKind.ABORTED;
        };
    }
}
