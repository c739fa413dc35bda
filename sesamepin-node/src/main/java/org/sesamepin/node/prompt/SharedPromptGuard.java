package org.sesamepin.node.prompt;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.prompt.PromptSuspects;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.http.Contexts;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.PromptEvidence;
import org.sesamepin.node.spi.StoreListing;

/**
 * A {@link PromptGuard} for requests on several event loops, at targets that are known by name. All
 * of its work runs on one context; its methods may be called from any thread.
 */
public final class SharedPromptGuard implements AutoCloseable {
    /**
     * Time within which the evidence about a target that has just ended is judged, milliseconds.
     */
    public static final long JUDGEMENT_MS = 250;

    private static final long LOAD_CHECK_MS = 50;

    private final Context mContext;
    private final Vertx mVertx;
    private final PromptGuard mGuard;

    /** Creates a guard that knows of no bad prompt. */
    public SharedPromptGuard(
            Vertx vertx,
            Ticker ticker,
            HostDirectory hosts,
            PeerClient peerClient,
            QuarantineStorage storage) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        QuarantineStorage confined =
                new QuarantineStorage(
                        storage.keyPrefix(),
                        transaction ->
                                Contexts.completeOn(mContext, storage.commit().apply(transaction)));
        mGuard =
                new PromptGuard(
                        vertx,
                        ticker,
                        PromptSuspects.TargetIdentity.NAME,
                        hosts,
                        peerClient,
                        lost -> Future.succeededFuture(true),
                        ServiceTargets.NONE,
                        confined);
    }

    /**
     * Returns the quarantine that forbids to send a request to {@code service}, or null. Completes
     * once the quarantine was read from the store, or when the store does not answer.
     */
    public Future<PromptQuarantine.@Nullable Entry> blocking(
            String service, PromptParts prompt, String requestId) {
        Promise<PromptQuarantine.@Nullable Entry> result = Promise.promise();
        mContext.runOnContext(v -> check(service, prompt, requestId, result));
        return result.future();
    }

    private void check(
            String service,
            PromptParts prompt,
            String requestId,
            Promise<PromptQuarantine.@Nullable Entry> result) {
        if (!mGuard.isLoaded()) {
            mVertx.setTimer(LOAD_CHECK_MS, t -> check(service, prompt, requestId, result));
            return;
        }
        result.complete(mGuard.blocking(service, prompt, requestId));
    }

    /** Records that a target answered a request completely. */
    public void recordSuccess(String service, PromptParts prompt) {
        mContext.runOnContext(v -> mGuard.recordSuccess(service, prompt));
    }

    /**
     * Records that a target closed the connection on which it ran a request.
     *
     * @param events number of events of the answer that had arrived
     */
    public void recordLostRun(LostTarget target, PromptParts prompt, long events) {
        mContext.runOnContext(v -> mGuard.recordLostRun(target, prompt, events));
    }

    /** Records the evidence of a peer. */
    public void recordEvidence(PromptEvidence evidence) {
        mContext.runOnContext(v -> mGuard.recordEvidence(evidence));
    }

    /** Adopts what the store holds in quarantine. */
    public void onListing(StoreListing listing) {
        mContext.runOnContext(v -> mGuard.storeListener().onListing(listing, false));
    }

    /** Returns the number of quarantines in force. */
    public int quarantineCount() {
        return mGuard.quarantineCount();
    }

    /** Returns how many ends of targets under requests this host has seen. */
    public long endCount() {
        return mGuard.endCount();
    }

    @Override
    public void close() {
        mGuard.close();
    }
}
