package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.sesamepin.cli.DemoFleet;

/** The fleet of one scenario, which its steps share. */
public final class FleetWorld {
    private static final AtomicInteger NEXT_FIRST_PORT = new AtomicInteger(20_000);
    private static final int PORTS_PER_FLEET = 200;

    /** Engines in the fleet. */
    static final int ENGINE_COUNT = 3;

    /** Longest wait of a step, milliseconds. */
    static final long STEP_TIMEOUT_MS = 30_000;

    private @Nullable DemoFleet mFleet;
    private @Nullable FleetClient mClient;
    private @Nullable HttpResponse<String> mResponse;

    /** A condition that a step waits for. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Starts a fleet of three nodes with all stand-ins. */
    void start() throws Exception {
        DemoFleet fleet = new DemoFleet(NEXT_FIRST_PORT.getAndAdd(PORTS_PER_FLEET));
        mFleet = fleet;
        mClient = new FleetClient(fleet);
        fleet.start();
    }

    /** Ends the fleet. */
    void stop() throws Exception {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    DemoFleet fleet() {
        if (mFleet == null) {
            throw new IllegalStateException("no fleet");
        }
        return mFleet;
    }

    FleetClient client() {
        if (mClient == null) {
            throw new IllegalStateException("no fleet");
        }
        return mClient;
    }

    HttpResponse<String> response() {
        if (mResponse == null) {
            throw new IllegalStateException("no answer");
        }
        return mResponse;
    }

    /** Waits until a condition holds. */
    static void await(String what, Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() - deadline < 0, "waited in vain for " + what);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    void setResponse(HttpResponse<String> answer) {
        mResponse = answer;
    }

    /** Returns what a stand-in engine executed. */
    JsonObject getEngineExecutions(int engine) throws Exception {
        return client().getExecutions(fleet().engineUrl(engine));
    }

    /** Returns how many requests all engines started. */
    long countStartedRequests() throws Exception {
        long started = 0;
        for (int i = 0; i < ENGINE_COUNT; i++) {
            started += getEngineExecutions(i).getLong("executions");
        }
        return started;
    }
}
