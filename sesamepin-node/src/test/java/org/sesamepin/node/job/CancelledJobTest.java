package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.Done;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.FreePorts;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.settings.NodeSettings;

/** Checks how soon the owner of a cancelled job stops to run it when nobody notifies it. */
class CancelledJobTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);

    /** Time in which an owner has to know of a cancellation, well below the target's 3 s. */
    private static final long MAX_DELAY_MS = 2_000;

    /** Interval of deferred watches in a fleet of 24 hosts or more. */
    private static final long DEFERRED_WATCH_MS = 3_000;

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();

    @AfterEach
    void close() {
        mHosts.forEach(JobHost::close);
        mVertx.close();
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private <T> T read(Supplier<T> value) throws Exception {
        return runOnEventLoop(() -> Future.succeededFuture(value.get()));
    }

    private JobHost startHost(String name, long watchIntervalMs) throws Exception {
        JobHost host =
                read(
                        () ->
                                new JobHost(
                                        mVertx,
                                        mStore,
                                        name,
                                        1,
                                        JobHost.configOf(ROUTE),
                                        () -> watchIntervalMs));
        mHosts.add(host);
        return host;
    }

    private void accept(JobHost host, String jobId) throws Exception {
        assertEquals(
                Acceptance.ACCEPTED,
                runOnEventLoop(
                        () -> host.handler().accept(jobId, "c", ROUTE, JobHost.oneItem(10))));
    }

    private void cancel(JobHost host, String jobId) throws Exception {
        runOnEventLoop(() -> host.handler().cancel(jobId));
    }

    private void assertStopsInTime(JobHost owner, String jobId) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS);
        while (read(() -> owner.runs(jobId))) {
            assertTrue(System.nanoTime() < end, "the owner still runs " + jobId);
            Thread.sleep(20);
        }
    }

    @Test
    void ownerWithDeferredWatchStopsInTime() throws Exception {
        JobHost owner = startHost("a", DEFERRED_WATCH_MS);
        JobHost other = startHost("b", DEFERRED_WATCH_MS);
        for (int i = 0; i < 6; i++) {
            accept(other, "spends-burst-" + i);
            accept(owner, "job-" + i);
        }
        for (int i = 0; i < 6; i++) {
            cancel(other, "job-" + i);
            assertStopsInTime(owner, "job-" + i);
        }
    }

    @Test
    void ownerWithSilentWatchStopsInTime() throws Exception {
        JobHost owner = startHost("a", 0);
        JobHost other = startHost("b", 0);
        accept(owner, "job");
        read(
                () -> {
                    owner.stopWatching();
                    return true;
                });
        cancel(other, "job");
        assertStopsInTime(owner, "job");
    }

    /** Starts the peer server of a host; it fails the first notice and counts all. */
    private InetSocketAddress startPeerServer(AtomicInteger notices) throws Exception {
        InetSocketAddress address = FreePorts.address();
        PeerServer server = new PeerServer(mVertx, address);
        server.registerHandler(
                PeerRequest._Fields.JOB_NOTICE,
                request ->
                        notices.incrementAndGet() == 1
                                ? Future.failedFuture("scripted")
                                : Future.succeededFuture(PeerReply.done(new Done())));
        runOnEventLoop(server::start);
        return address;
    }

    @Test
    void ownerUnknownToTheIndexIsNoticedAgainAfterAFailure() throws Exception {
        JobHost owner = startHost("a", 0);
        JobHost other = startHost("b", 0);
        AtomicInteger notices = new AtomicInteger();
        InetSocketAddress address = startPeerServer(notices);
        read(
                () -> {
                    other.stopWatching();
                    other.addPeer("a", NodeSettings.formatAddress(address));
                    return true;
                });
        accept(owner, "job");
        cancel(other, "job");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_DELAY_MS);
        while (notices.get() < 2) {
            assertTrue(System.nanoTime() < end, "notices: " + notices.get());
            Thread.sleep(20);
        }
    }

    @Test
    void jobWithTheIdOfACancelledOneKeepsItsOwner() throws Exception {
        JobHost owner = startHost("a", DEFERRED_WATCH_MS);
        accept(owner, "job");
        cancel(owner, "job");
        runOnEventLoop(
                () ->
                        new JobStorage(mStore, JobHost.MAX_VALUE_BYTES)
                                .remove("job", owner.index().summaryRevision("job")));
        JobHost second = startHost("b", 0);
        accept(second, "job");
        assertTrue(read(() -> second.runs("job")));
        Thread.sleep(MAX_DELAY_MS);
        assertTrue(read(() -> second.runs("job")));
        assertFalse(read(() -> owner.runs("job")));
        assertEquals(0, read(() -> mStore.countKeys(ServingKeys.cancellation("job"))));
    }
}
