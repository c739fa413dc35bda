package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.MemoryStore.Fault;
import org.sesamepin.node.serving.RawTarget;

/** Checks that an accepted item that nothing works on is found, with what holds it back. */
class IdleItemMonitorTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();

    @AfterEach
    void close() {
        mHosts.forEach(JobHost::close);
        mVertx.close();
    }

    private <T> T read(Supplier<T> value) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> promise.complete(value.get()));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private JobHost startHost(ServingConfig config) throws Exception {
        JobHost host = read(() -> new JobHost(mVertx, mStore, "a", 1, config, () -> 0));
        mHosts.add(host);
        return host;
    }

    private void accept(JobHost host) throws Exception {
        Future<JobRequestHandler.Acceptance> accepted =
                read(() -> host.handler().accept("job", "c", ROUTE, JobHost.oneItem(10)));
        accepted.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private void awaitHold(JobHost host, String item, String hold) throws Exception {
        for (int i = 0; i < 100 && !isIdle(host, item, hold); i++) {
            Thread.sleep(50);
        }
        IdleItemMonitor.IdleItem idle = Objects.requireNonNull(read(host::oldestIdleItem));
        assertEquals(
                "job " + item + " " + hold,
                idle.job() + " " + idle.item() + " " + idle.hold().name());
    }

    private boolean isIdle(JobHost host, String item, String hold) throws Exception {
        IdleItemMonitor.IdleItem idle = read(host::oldestIdleItem);
        return idle != null && idle.item().equals(item) && idle.hold().name().equals(hold);
    }

    @Test
    void itemWithoutATargetIsIdleUntilItRuns() throws Exception {
        JobHost host = startHost(JobHost.configOf(ROUTE));
        accept(host);
        awaitHold(host, "i", "no-target");
        RawTarget silent = new RawTarget(mVertx, "t", IdleItemMonitorTest::ignore);
        read(
                () -> {
                    host.setTargets(List.of(silent.instance()));
                    return null;
                });
        for (int i = 0; i < 40 && read(host::oldestIdleItem) != null; i++) {
            Thread.sleep(10);
        }
        assertNull(read(host::oldestIdleItem));
    }

    private static void ignore(NetSocket socket, String head, int number) {}

    @Test
    void itemOfARemovedRouteNamesIt() throws Exception {
        ServingRoute other = JobHost.batchRoute("other", 0);
        JobHost host = startHost(JobHost.configOf(other));
        accept(host);
        awaitHold(host, "i", "no-route");
    }

    @Test
    void resultThatTheStoreDoesNotTakeIsIdle() throws Exception {
        JobHost host = startHost(JobHost.configOf(ROUTE));
        accept(host);
        read(
                () -> {
                    mStore.setFaultSource(() -> Fault.LOST);
                    host.complete("job", 0, "x");
                    return null;
                });
        awaitHold(host, "i", "result-write");
    }

    @Test
    void jobThatNoProcessRunsIsIdle() throws Exception {
        JobHost host = startHost(JobHost.configOf(ROUTE));
        for (int i = 0; i < 100 && read(() -> host.index().hosts().isEmpty()); i++) {
            Thread.sleep(20);
        }
        read(
                () -> {
                    mStore.setFaultSource(() -> Fault.LOST);
                    JobSummary summary = new JobSummary("c", "r", 1, 0, 0, 10, 0);
                    host.index().applyOwnWrite("job", summary, 0);
                    return null;
                });
        awaitHold(host, "-", "not-claimed");
        assertTrue(read(() -> !host.runs("job")));
    }
}
