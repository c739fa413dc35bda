package org.sesamepin.node.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.limit.RateGroups;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.serving.CustomerRateLimiter;
import org.sesamepin.node.serving.FreePorts;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingMetrics;
import org.sesamepin.node.serving.ServingState;

/**
 * Tests the rate limit of a large fleet with real messages on loopback, one event loop a host.
 * Exact bounds and times are tested on a virtual clock.
 */
class GroupRateLimiterTest {
    private static final int HOSTS = 14;
    private static final long TIMEOUT_SECONDS = 20;
    private static final CustomerSpec CUSTOMER =
            new CustomerSpec("customer", List.of(), null, 40, 40);

    private final Map<String, Host> mHosts = new HashMap<>();

    private static final class Host {
        private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        private final Context mContext = mVertx.getOrCreateContext();
        private final PeerTable mPeers;
        private final ServingMetrics mMetrics = new ServingMetrics();
        private final CustomerRateLimiter mLimiter;
        private final PeerServer mServer;

        Host(String name, InetSocketAddress address, boolean isOlderBuild) throws Exception {
            mPeers = new PeerTable(Ticker.SYSTEM, name, 1);
            ServingState state = new ServingState();
            state.activateIfNewer(config());
            mLimiter =
                    new CustomerRateLimiter(
                            mVertx, Ticker.SYSTEM, state, mPeers, new PeerClient(mVertx), mMetrics);
            mServer = new PeerServer(mVertx, address);
            if (!isOlderBuild) {
                run(
                        () -> {
                            mLimiter.start(mServer);
                            return Future.succeededFuture();
                        });
            }
            run(mServer::start);
        }

        <T> T run(Callable<Future<T>> action) throws Exception {
            Promise<T> promise = Promise.promise();
            mContext.runOnContext(
                    v -> {
                        try {
                            action.call().onComplete(promise);
                        } catch (Exception e) {
                            promise.fail(e);
                        }
                    });
            return promise.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }

        boolean admits() throws Exception {
            return run(() -> mLimiter.admit(CUSTOMER, 0)).admitted();
        }

        void close() throws Exception {
            mVertx.close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static ServingConfig config() {
        return new ServingConfig(
                1, List.of(), List.of(), List.of(CUSTOMER), ConnectionLimits.DEFAULT);
    }

    private void startFleet(int olderBuilds) throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            addresses.add(FreePorts.address());
        }
        List<String> holders = holders();
        for (int i = 0; i < HOSTS; i++) {
            String name = "host-" + i;
            boolean isOlder = holders.indexOf(name) >= RateGroups.MAX_HOLDERS - olderBuilds;
            mHosts.put(name, new Host(name, addresses.get(i), isOlder));
        }
        for (Host host : mHosts.values()) {
            host.run(
                    () -> {
                        for (int i = 0; i < HOSTS; i++) {
                            String address = "127.0.0.1:" + addresses.get(i).getPort();
                            host.mPeers.register(new PeerTable.Peer("host-" + i, address, 1));
                        }
                        return Future.succeededFuture();
                    });
        }
    }

    private static List<String> holders() {
        Map<String, Double> cores = new HashMap<>();
        for (int i = 0; i < HOSTS; i++) {
            cores.put("host-" + i, 1.0);
        }
        RateGroups groups = new RateGroups(cores);
        return groups.holdersOf(groups.groups().get(0));
    }

    private void awaitAdmission() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        for (Host host : mHosts.values()) {
            while (!host.admits()) {
                assertTrue(System.nanoTime() < deadline, "no request was admitted");
                Thread.sleep(20);
            }
        }
    }

    @AfterEach
    void closeHosts() throws Exception {
        for (Host host : mHosts.values()) {
            host.close();
        }
    }

    /** Hosts that admitted from shares of their own would exceed the rate under load. */
    @Test
    void hostsTogetherStayWithinTheRateUnderLoad() throws Exception {
        startFleet(0);
        awaitAdmission();
        long startedAt = System.nanoTime();
        int admitted = 0;
        for (int round = 0; round < 40; round++) {
            for (Host host : mHosts.values()) {
                admitted += host.admits() ? 1 : 0;
            }
        }
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        double bound = CUSTOMER.ratePerS() * seconds + CUSTOMER.burst();
        assertTrue(admitted <= bound * 1.1 + 1, admitted + " admitted, bound " + bound);
        assertTrue(admitted > 0);
    }

    /** Without a second leader, all customers of the group would be refused. */
    @Test
    void nextHolderAdmitsAfterTheLeaderIsLost() throws Exception {
        startFleet(0);
        awaitAdmission();
        String leader = holders().get(0);
        Objects.requireNonNull(mHosts.remove(leader)).close();
        awaitAdmission();
    }

    @Test
    void nextHolderAdmitsWhenTheLeaderStops() throws Exception {
        startFleet(0);
        awaitAdmission();
        Host leader = Objects.requireNonNull(mHosts.remove(holders().get(0)));
        leader.run(leader.mLimiter::handOver);
        awaitAdmission();
        leader.close();
    }

    /** While hosts of an older build hold shares, the sum of the others would be too small. */
    @Test
    void loansAreUsedWhileHoldersAreOfAnOlderBuild() throws Exception {
        startFleet(7);
        awaitAdmissionByLoans();
    }

    private static String text(Host host) throws Exception {
        return new String(host.mMetrics.text(), StandardCharsets.UTF_8);
    }

    private void awaitAdmissionByLoans() throws Exception {
        Host host = Objects.requireNonNull(mHosts.get(holders().get(0)));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!text(host).contains("source=\"own-share\"")) {
            host.admits();
            assertTrue(System.nanoTime() < deadline, text(host));
            Thread.sleep(20);
        }
    }
}
