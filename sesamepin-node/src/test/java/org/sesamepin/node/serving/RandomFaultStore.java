package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
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
 * One node's way to a store that fails at random while it is disturbed: calls are refused, their
 * answers are lost, writes take effect late, or nothing answers until the call times out. Confined
 * to one event loop.
 */
final class RandomFaultStore implements WatchableStore {
    private static final long TIMEOUT_MS = 1_200;
    private static final int MAX_LATENESS_MS = 2_500;

    private enum Fault {
        NONE,
        REFUSED,
        ANSWER_LOST,
        LATE,
        SILENT
    }

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final Random mRandom;
    private boolean mDisturbed;
    private boolean mCut;

    RandomFaultStore(Vertx vertx, WatchableStore store, Random random) {
        mVertx = vertx;
        mStore = store;
        mRandom = random;
    }

    void setDisturbed(boolean disturbed) {
        mDisturbed = disturbed;
    }

    /** Sets whether no call reaches the store. */
    void setCut(boolean cut) {
        mCut = cut;
    }

    private Fault nextFault() {
        if (mCut) {
            return Fault.SILENT;
        }
        if (!mDisturbed || mRandom.nextInt(3) > 0) {
            return Fault.NONE;
        }
        Fault[] faults = Fault.values();
        return faults[mRandom.nextInt(faults.length)];
    }

    private <T> Future<T> call(Supplier<Future<T>> call) {
        return switch (nextFault()) {
            case NONE -> call.get();
            case REFUSED -> fail(Execution.NOT_RUN);
            case ANSWER_LOST -> call.get().transform(done -> failLater());
            case LATE -> {
                long delayMs = 1 + mRandom.nextInt(MAX_LATENESS_MS);
                mVertx.setTimer(delayMs, t -> call.get().onComplete(done -> {}));
                yield failLater();
            }
            case SILENT -> failLater();
        };
    }

    private <T> Future<T> failLater() {
        return mVertx.timer(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .compose(t -> fail(Execution.UNKNOWN));
    }

    private static <T> Future<T> fail(Execution execution) {
        return Future.failedFuture(
                new SesamepinException(Step.STORE_WRITE, "store", execution, "scripted", null));
    }

    @Override
    public Future<StoreListing> list(String prefix) {
        return call(() -> mStore.list(prefix));
    }

    @Override
    public Future<StoreChanges> watch(String prefix, long revision, long waitMs) {
        Promise<StoreChanges> reply = Promise.promise();
        mStore.watch(prefix, revision, waitMs)
                .onComplete(
                        result ->
                                call(() -> Future.succeededFuture())
                                        .onComplete(
                                                done -> {
                                                    if (done.succeeded()) {
                                                        reply.handle(result);
                                                    } else {
                                                        reply.fail(done.cause());
                                                    }
                                                }));
        return reply.future();
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
        return true;
    }

    @Override
    public void close() {
        mStore.close();
    }
}
