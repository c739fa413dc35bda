package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreRelayCall;
import org.sesamepin.node.spi.StoreResult;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * One node's way to a store that takes a few milliseconds for a call, can lose calls and answers,
 * and carries out nothing more once the node is killed.
 */
final class SlowStore implements WatchableStore {
    private static final long ONE_WAY_MS = 3;
    private static final long CALL_TIMEOUT_MS = 1_200;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final Random mRandom;
    private double mLostShare;
    private boolean mSilent;
    private boolean mKilled;

    SlowStore(Vertx vertx, WatchableStore store, long seed) {
        mVertx = vertx;
        mStore = store;
        mRandom = new Random(seed);
    }

    /** Sets the share of the listings and transactions that get no answer; half of them run. */
    void setLostShare(double lostShare) {
        mLostShare = lostShare;
    }

    /** Lets no call that is sent from now on, nor a pending watch, be answered. */
    void setSilent(boolean silent) {
        mSilent = silent;
    }

    /** Lets no call of the node reach the store any more. */
    void kill() {
        mKilled = true;
    }

    private <T> Future<T> call(Supplier<Future<T>> call) {
        Promise<T> answer = Promise.promise();
        boolean isLost = mSilent || mRandom.nextDouble() < mLostShare;
        boolean isRun = !isLost || (!mSilent && mRandom.nextBoolean());
        mVertx.setTimer(CALL_TIMEOUT_MS, t -> answer.tryFail("no answer"));
        if (isRun) {
            after(
                    () ->
                            call.get()
                                    .onSuccess(
                                            result -> {
                                                if (!isLost) {
                                                    after(() -> answer.tryComplete(result));
                                                }
                                            })
                                    .onFailure(answer::tryFail));
        }
        return answer.future();
    }

    private void after(Runnable action) {
        mVertx.timer(ONE_WAY_MS, TimeUnit.MILLISECONDS)
                .onSuccess(
                        t -> {
                            if (!mKilled) {
                                action.run();
                            }
                        });
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        return call(() -> mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        Promise<StoreChanges> answer = Promise.promise();
        mStore.watch(prefix, revision, waitMs)
                .onComplete(
                        result -> {
                            if (!mSilent && !mKilled) {
                                answer.handle(result);
                            }
                        });
        return answer.future();
    }

    @Override
    public Future<StoreResult> commit(StoreTransaction transaction) {
        return call(() -> mStore.commit(transaction));
    }

    @Override
    public Future<Long> grantLeaseMs(long ttlMs) {
        return mStore.grantLeaseMs(ttlMs);
    }

    @Override
    public Future<Boolean> keepAlive(long lease) {
        return mStore.keepAlive(lease);
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return mStore.revokeLease(lease);
    }

    @Override
    public void reconnect() {
        mStore.reconnect();
    }

    @Override
    public Future<StoreRelayCall.Reply> relay(StoreRelayCall call) {
        return mStore.relay(call);
    }

    @Override
    public void setPeerRelay(Function<StoreRelayCall, Future<StoreRelayCall.Reply>> relay) {
        mStore.setPeerRelay(relay);
    }

    @Override
    public boolean isDirectlyReachable() {
        return mStore.isDirectlyReachable();
    }

    @Override
    public void close() {
        kill();
    }
}
