package org.sesamepin.node.job;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * One host's way to a store, which may be slow or away, and whose watches may be lost, deferred or
 * silent while all other calls are answered. Tells since when the host is in touch with the store.
 * Confined to one event loop.
 */
public final class OutageStore implements WatchableStore {
    /** How calls other than watches are answered. */
    public enum Mode {
        SOUND,
        SLOW,
        /** Answers after a moment, unless a timer of the event loop ends the call before. */
        TIMED,
        REFUSING,
        SILENT
    }

    /** How watches are answered. */
    public enum WatchMode {
        SOUND,
        LOST,
        DEFERRED,
        SILENT
    }

    private static final long CALL_TIMEOUT_MS = 1_200;
    private static final long ANSWER_MS = 30;
    private static final long WATCH_TIMEOUT_MS = 22_000;
    private static final long WATCH_DEFERRAL_MS = 3_000;
    private static final int MAX_SLOWNESS_MS = 400;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final Random mRandom;
    private final List<Promise<StoreChanges>> mWatches = new ArrayList<>();
    private Mode mMode = Mode.SOUND;
    private WatchMode mWatchMode = WatchMode.SOUND;
    private long mBackSince = System.nanoTime();
    private int mLists;
    private int mTimeouts;

    /** Creates a sound way to {@code store}. */
    public OutageStore(Vertx vertx, WatchableStore store, Random random) {
        mVertx = vertx;
        mStore = store;
        mRandom = random;
    }

    /**
     * Sets how calls are answered; the pending watches are lost when the store begins to refuse.
     */
    public void setMode(Mode mode) {
        if (isAway()) {
            mBackSince = System.nanoTime();
        }
        mMode = mode;
        if (mode == Mode.REFUSING) {
            loseWatches();
        }
    }

    /** Sets how watches are answered. */
    public void setWatchMode(WatchMode mode) {
        mWatchMode = mode;
        if (mode == WatchMode.LOST) {
            loseWatches();
        }
    }

    /** Ends the pending watches with an error. */
    public void loseWatches() {
        List<Promise<StoreChanges>> lost = List.copyOf(mWatches);
        mWatches.clear();
        lost.forEach(watch -> watch.tryFail(error(Execution.UNKNOWN)));
    }

    private boolean isAway() {
        return mMode == Mode.REFUSING || mMode == Mode.SILENT;
    }

    /** Returns for how long the store has answered all calls but watches, milliseconds. */
    public long inTouchMs() {
        return isAway() ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mBackSince);
    }

    /** Returns the number of lists that were asked for. */
    public int lists() {
        return mLists;
    }

    /** Returns the number of calls that timed out in {@link Mode#TIMED}. */
    public int timeouts() {
        return mTimeouts;
    }

    private <T> Future<T> call(Supplier<Future<T>> call) {
        return switch (mMode) {
            case SOUND -> call.get();
            case SLOW -> delay().compose(t -> call.get()).compose(r -> delay().map(t -> r));
            case TIMED -> callInTime(call);
            case REFUSING -> Future.failedFuture(error(Execution.NOT_RUN));
            case SILENT ->
                    mVertx.timer(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                            .compose(t -> Future.failedFuture(error(Execution.UNKNOWN)));
        };
    }

    /** The answer passes the event loop twice, so a timeout that is due meanwhile comes first. */
    private <T> Future<T> callInTime(Supplier<Future<T>> call) {
        Promise<T> reply = Promise.promise();
        Future<T> answer = call.get();
        mVertx.setTimer(ANSWER_MS, t -> mVertx.runOnContext(v -> complete(reply, answer)));
        mVertx.setTimer(CALL_TIMEOUT_MS, t -> endInTime(reply));
        return reply.future();
    }

    private <T> void endInTime(Promise<T> reply) {
        if (reply.tryFail(error(Execution.UNKNOWN))) {
            mTimeouts++;
        }
    }

    private static <T> void complete(Promise<T> reply, Future<T> answer) {
        answer.onSuccess(reply::tryComplete).onFailure(reply::tryFail);
    }

    private Future<?> delay() {
        return mVertx.timer(1 + mRandom.nextInt(MAX_SLOWNESS_MS), TimeUnit.MILLISECONDS);
    }

    private static SesamepinException error(Execution execution) {
        return new SesamepinException(Step.STORE_WRITE, "store", execution, "scripted", null);
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        mLists++;
        return call(() -> mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        if (mMode == Mode.REFUSING || mWatchMode == WatchMode.LOST) {
            return Future.failedFuture(error(Execution.NOT_RUN));
        }
        Promise<StoreChanges> reply = Promise.promise();
        mWatches.add(reply);
        mVertx.setTimer(WATCH_TIMEOUT_MS, t -> reply.tryFail(error(Execution.UNKNOWN)));
        mStore.watch(prefix, revision, waitMs).onSuccess(changes -> answer(reply, changes));
        return reply.future();
    }

    private void answer(Promise<StoreChanges> reply, StoreChanges changes) {
        if (mMode == Mode.SILENT || mWatchMode == WatchMode.SILENT) {
            return;
        }
        mWatches.remove(reply);
        if (mWatchMode == WatchMode.DEFERRED) {
            mVertx.setTimer(WATCH_DEFERRAL_MS, t -> reply.tryComplete(changes));
            return;
        }
        reply.tryComplete(changes);
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return call(() -> mStore.commit(transaction));
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return call(() -> mStore.grantLeaseMs(ttlMs));
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return call(() -> mStore.keepAlive(lease));
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return call(() -> mStore.revokeLease(lease));
    }

    @Override
    public void reconnect() {}

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return mStore.relay(call);
    }

    @Override
    public void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> relay) {}

    @Override
    public boolean isDirectlyReachable() {
        return !isAway();
    }

    @Override
    public void close() {
        mStore.close();
    }
}
