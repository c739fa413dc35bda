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
    private static final AtomicInteger PORTS = new AtomicInteger(20_000);
    private static final int PORTS_PER_FLEET = 200;

    /** Engines in the fleet. */
    static final int ENGINES = 3;

    /** Longest wait of a step, milliseconds. */
    static final long PATIENCE_MS = 30_000;

    private @Nullable DemoFleet mFleet;
    private @Nullable FleetCaller mCaller;
    private @Nullable HttpResponse<String> mAnswer;

    /** A condition that a step waits for. */
    @FunctionalInterface
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Starts a fleet of three nodes with all stand-ins. */
    void start() throws Exception {
        DemoFleet fleet = new DemoFleet(PORTS.getAndAdd(PORTS_PER_FLEET));
        mFleet = fleet;
        mCaller = new FleetCaller(fleet);
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

    FleetCaller caller() {
        if (mCaller == null) {
            throw new IllegalStateException("no fleet");
        }
        return mCaller;
    }

    HttpResponse<String> answer() {
        if (mAnswer == null) {
            throw new IllegalStateException("no answer");
        }
        return mAnswer;
    }

    /** Waits until a condition holds. */
    static void await(String what, Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() - deadline < 0, "waited in vain for " + what);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    void setAnswer(HttpResponse<String> answer) {
        mAnswer = answer;
    }

    /** Returns what a stand-in engine executed. */
    JsonObject executions(int engine) throws Exception {
        return caller().executions(fleet().engine(engine));
    }

    /** Returns how many requests all engines started. */
    long started() throws Exception {
        long started = 0;
        for (int i = 0; i < ENGINES; i++) {
            started += executions(i).getLong("executions");
        }
        return started;
    }
}
