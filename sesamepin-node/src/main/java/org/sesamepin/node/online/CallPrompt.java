package org.sesamepin.node.online;

import io.vertx.core.Future;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.node.prompt.LostConnections;
import org.sesamepin.node.prompt.LostTarget;
import org.sesamepin.node.prompt.SharedPromptGuard;

/** The prompt of one model call, and the connections that targets have closed under it. */
final class CallPrompt {
    private static final int LOST_CONNECTIONS_BEFORE_JUDGEMENT = 2;

    private final SharedPromptGuard mGuard;
    private final String mService;
    private final PromptParts mParts;
    private final String mRequestId;
    private int mLostConnections;

    CallPrompt(SharedPromptGuard guard, String service, PromptParts parts, String requestId) {
        mGuard = guard;
        mService = service;
        mParts = parts;
        mRequestId = requestId;
    }

    /** Returns the quarantine that forbids to send the call, or null. */
    Future<PromptQuarantine.@Nullable Entry> quarantine() {
        return mGuard.blocking(mService, mParts, mRequestId);
    }

    /** Records that a target answered the call completely. */
    void recordAnswer() {
        mGuard.recordSuccess(mService, mParts);
    }

    /**
     * Records that an attempt failed after the call was sent.
     *
     * @param events number of events of the answer that had arrived
     */
    void recordFailure(Target target, Throwable cause, long events) {
        if (!LostConnections.isLost(cause)) {
            return;
        }
        mLostConnections++;
        LostTarget lost = new LostTarget(mService, target.name(), target.address());
        mGuard.recordLostRun(lost, mParts, events);
    }

    /**
     * Returns how long to wait before the next attempt, milliseconds. After two lost connections
     * the prompt may be what ends the targets, so the evidence is judged first.
     */
    long retryDelayMs() {
        boolean suspect = mLostConnections >= LOST_CONNECTIONS_BEFORE_JUDGEMENT;
        return suspect ? SharedPromptGuard.JUDGEMENT_MS : 0;
    }
}
