package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.sesamepin.cli.DemoFleet;

/** State of one scenario that its step classes share: the fleet and the last response. */
public final class FleetWorld {
    private static final AtomicInteger NEXT_FIRST_PORT = new AtomicInteger(20_000);
    private static final int PORTS_PER_FLEET = 200;

    /** Number of engines in the fleet. */
    static final int ENGINE_COUNT = 3;

    /** Longest time that a step waits for a condition or a response, milliseconds. */
    static final long STEP_TIMEOUT_MS = 30_000;

    private @Nullable DemoFleet mFleet;
    private @Nullable FleetClient mClient;
    private @Nullable HttpResponse<String> mResponse;

    /** A condition that a step waits for. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws Exception;
    }

    /**
     * Returns the first port of a block that a fleet can use. Skips blocks in which another process
     * of the machine listens, since a fleet cannot start there.
     */
    private static int nextFreePorts() {
        int firstPort = NEXT_FIRST_PORT.getAndAdd(PORTS_PER_FLEET);
        while (!IntStream.range(firstPort, firstPort + PORTS_PER_FLEET)
                .allMatch(FleetWorld::isFree)) {
            firstPort = NEXT_FIRST_PORT.getAndAdd(PORTS_PER_FLEET);
        }
        return firstPort;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a fleet of three nodes with all stand-ins. */
    void start() throws Exception {
        DemoFleet fleet = new DemoFleet(nextFreePorts());
        mFleet = fleet;
        mClient = new FleetClient(fleet);
        fleet.start();
    }

    /** Stops the fleet. */
    void stop() throws Exception {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    DemoFleet fleet() {
        if (mFleet == null) {
            throw new IllegalStateException("the fleet has not been started");
        }
        return mFleet;
    }

    FleetClient client() {
        if (mClient == null) {
            throw new IllegalStateException("the fleet has not been started");
        }
        return mClient;
    }

    HttpResponse<String> response() {
        if (mResponse == null) {
            throw new IllegalStateException("no request has been sent in this scenario");
        }
        return mResponse;
    }

    /** Waits until a condition holds; fails after {@link #STEP_TIMEOUT_MS}. */
    static void await(String what, Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() - deadline < 0, "timed out waiting for " + what);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    void setResponse(HttpResponse<String> response) {
        mResponse = response;
    }

    /** Returns the execution counters of a stand-in engine. */
    JsonObject getEngineExecutions(int engine) throws Exception {
        return client().getExecutions(fleet().engineUrl(engine));
    }

    /** Returns the number of requests that all engines together have started. */
    long countStartedRequests() throws Exception {
        long started = 0;
        for (int i = 0; i < ENGINE_COUNT; i++) {
            started += getEngineExecutions(i).getLong("executions");
        }
        return started;
    }
}
