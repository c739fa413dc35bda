package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.job.MemoryStore.Fault;
import org.sesamepin.node.spi.StoreTransaction;

/** Checks that a host stays registered whatever becomes of the writes of its registration. */
class HostLeaseTest {
    private static final String KEY = ServingKeys.host("a");
    private static final long HEAL_TIMEOUT_MS = 3_000;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<AutoCloseable> mCloseables = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : mCloseables) {
            closeable.close();
        }
        mVertx.close();
    }

    private <T> T onEventLoop(Supplier<T> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> promise.complete(task.get()));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private HostLease startHost(long incarnation) throws Exception {
        return onEventLoop(
                () -> {
                    HostLease lease =
                            new HostLease(
                                    mVertx,
                                    Ticker.SYSTEM,
                                    mStore,
                                    "a",
                                    incarnation,
                                    "127.0.0.1:1",
                                    1,
                                    () -> {});
                    StoreMirror mirror =
                            new StoreMirror(
                                    mVertx,
                                    mStore,
                                    ServingKeys.CONTROL_PREFIX,
                                    lease,
                                    new WatchRateLimiter(Ticker.SYSTEM, () -> 0));
                    mCloseables.addAll(List.of(mirror, lease));
                    lease.start();
                    mirror.start();
                    return lease;
                });
    }

    private void awaitTrue(String what, Supplier<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEAL_TIMEOUT_MS);
        while (!onEventLoop(condition)) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(20);
        }
    }

    /** Waits until the entry of the host hangs on the lease that the host renews. */
    private void awaitRegistered(HostLease host) throws Exception {
        awaitTrue(
                "the entry hangs on the lease of the host",
                () -> host.id() != 0 && mStore.leaseOf(KEY) == host.id());
    }

    /**
     * A registration that the store carries out late must not replace the next one: it hangs on a
     * lease that nobody renews, and the host would drop out of the others' tables for good.
     */
    @Test
    void lateRegistrationDoesNotReplaceTheNextOne() throws Exception {
        mStore.injectFaults(Fault.LATE);
        HostLease host = startHost(1);
        awaitRegistered(host);
        onEventLoop(
                () -> {
                    mStore.applyLateWrites();
                    mStore.expireLease(host.id() - 1);
                    return null;
                });
        awaitRegistered(host);
    }

    /** A late write of an earlier process of the host must not replace its successor's entry. */
    @Test
    void lateRegistrationOfAnEarlierProcessDoesNotReplaceTheNextOne() throws Exception {
        mStore.injectFaults(Fault.LATE);
        HostLease first = startHost(1);
        onEventLoop(
                () -> {
                    first.close();
                    return null;
                });
        HostLease second = startHost(2);
        awaitRegistered(second);
        onEventLoop(
                () -> {
                    mStore.applyLateWrites();
                    return null;
                });
        awaitRegistered(second);
        assertTrue(onEventLoop(() -> mStore.textOf(KEY).contains("\"incarnation\":2")));
    }

    /** A host whose entry is deleted, although its lease is alive, has to register again. */
    @Test
    void missingRegistrationIsWrittenAgain() throws Exception {
        HostLease host = startHost(1);
        awaitRegistered(host);
        onEventLoop(() -> mStore.commit(new StoreTransaction().delete(KEY)));
        awaitRegistered(host);
    }

    /** A host whose entry was replaced by another writer has to register again. */
    @ParameterizedTest
    @ValueSource(strings = {"NONE", "ANSWER_LOST", "LOST", "REFUSED", "LATE"})
    void replacedRegistrationIsWrittenAgain(Fault faultOfRepair) throws Exception {
        HostLease host = startHost(1);
        awaitRegistered(host);
        onEventLoop(
                () -> {
                    Future<?> write =
                            mStore.commit(
                                    new StoreTransaction().put(KEY, "{\"peer\":\"127.0.0.1:9\"}"));
                    mStore.injectFaults(faultOfRepair);
                    return write;
                });
        awaitRegistered(host);
    }

    /** A lease that lapsed takes the entry with it; the host has to register under a new one. */
    @Test
    void hostRegistersAgainAfterItsLeaseLapsed() throws Exception {
        HostLease host = startHost(1);
        awaitRegistered(host);
        onEventLoop(
                () -> {
                    mStore.expireLease(host.id());
                    return null;
                });
        awaitRegistered(host);
    }
}
