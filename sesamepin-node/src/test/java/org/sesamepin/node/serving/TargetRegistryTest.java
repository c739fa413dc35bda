package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.ColdTargets;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;

/**
 * Tests the snapshot of the registered targets. After an outage of the store the entries of live
 * targets may have expired; dropping these targets at once would leave requests without a target
 * until they register again.
 */
class TargetRegistryTest {
    private final Vertx mVertx = Vertx.vertx();
    private final ServingState mState = new ServingState();
    private final WarmUpTracker mWarmUps = new WarmUpTracker(() -> 0, mState);
    private final TargetRegistry mRegistry =
            new TargetRegistry(mVertx, () -> 0, protocol(), mState, mWarmUps);
    private long mColdLeftMs;

    /** Returns a protocol that only decodes targets. */
    private FleetProtocol protocol() {
        return (FleetProtocol)
                Proxy.newProxyInstance(
                        FleetProtocol.class.getClassLoader(),
                        new Class<?>[] {FleetProtocol.class},
                        (proxy, method, args) -> decode((String) args[0], (byte[]) args[1]));
    }

    private TargetInstance decode(String key, byte[] value) throws SesamepinException {
        String state = new StoreEntry(key, value, 0).text();
        if (state.equals("junk")) {
            throw new SesamepinException(Step.STORE_READ, key, "junk");
        }
        return new TargetInstance(
                key,
                1,
                "s",
                "v1",
                new InetSocketAddress("127.0.0.1", 1),
                "a",
                1,
                TargetState.valueOf(state),
                mColdLeftMs);
    }

    @AfterEach
    void close() {
        mVertx.close();
    }

    private static StoreEntry entry(String key, String state) {
        return new StoreEntry(key, state.getBytes(java.nio.charset.StandardCharsets.UTF_8), 5);
    }

    private static StoreListing listing(String... keys) {
        List<StoreEntry> entries = new ArrayList<>();
        for (String key : keys) {
            entries.add(entry(key, "READY"));
        }
        return new StoreListing(5, entries);
    }

    private static StoreChanges removal(String key) {
        return new StoreChanges(6, List.of(new StoreChange(key, null, 6)), false);
    }

    private Set<String> registeredTargets() {
        return mState.targets().targetsById().keySet();
    }

    private ColdTargets coldTargets(long coldLeftMs) {
        mColdLeftMs = coldLeftMs;
        ServiceSpec service = new ServiceSpec("s", 0, 9_000, 2);
        mState.activateIfNewer(
                new ServingConfig(1, List.of(), List.of(service), null, ConnectionLimits.DEFAULT));
        return mWarmUps.coldTargets();
    }

    /** Guards against targets that stay cold since the same entry is listed again. */
    @Test
    void anEntryCountsFromWhenItWasRead() {
        ColdTargets cold = coldTargets(5_000);
        mRegistry.onListing(listing("a"), false);
        assertTrue(cold.isCold("a@1"));
        cold.removeWarm(TimeUnit.SECONDS.toNanos(6));
        assertFalse(cold.isCold("a@1"));
        mRegistry.onListing(listing("a"), false);
        assertFalse(cold.isCold("a@1"), "after the same entry was listed again");
        StoreEntry rewritten = new StoreEntry("a", entry("a", "READY").value(), 7);
        StoreChange change = new StoreChange("a", rewritten, 7);
        mRegistry.onChanges(new StoreChanges(7, List.of(change), false), false);
        assertTrue(cold.isCold("a@1"), "after it was written again");
    }

    /** An entry that says that its target is warm may have been written before the absence. */
    @Test
    void aTargetThatComesBackIsColdWhateverItsEntrySays() {
        ColdTargets cold = coldTargets(0);
        mRegistry.onListing(listing("a", "b"), false);
        mRegistry.onChanges(removal("a"), false);
        assertFalse(cold.isCold("a@1"));
        mRegistry.onListing(listing("a", "b"), false);
        assertTrue(cold.isCold("a@1"));
        assertFalse(cold.isCold("b@1"));
        assertEquals(Set.of("a@1"), cold.foundLeftMs(0).keySet());
    }

    @Test
    void removedTargetIsDroppedAtOnce() {
        mRegistry.onListing(listing("a", "b"), false);
        mRegistry.onChanges(removal("a"), false);
        assertEquals(Set.of("b"), registeredTargets());
    }

    @Test
    void targetMissingAfterAnOutageIsKeptForAWhile() {
        mRegistry.onListing(listing("a", "b"), false);
        mRegistry.onListing(listing("b"), true);
        assertEquals(Set.of("a", "b"), registeredTargets());
    }

    @Test
    void drainingTargetIsNotReady() {
        mRegistry.onListing(listing("a"), false);
        StoreChange draining = new StoreChange("a", entry("a", "DRAINING"), 6);
        mRegistry.onChanges(new StoreChanges(6, List.of(draining), false), false);
        assertEquals(List.of(), mState.targets().readyTargets("s"));
    }

    @Test
    void targetWithAnInvalidEntryIsDropped() {
        mRegistry.onListing(listing("a", "b"), false);
        StoreChange junk = new StoreChange("a", entry("a", "junk"), 6);
        mRegistry.onChanges(new StoreChanges(6, List.of(junk), false), false);
        assertEquals(Set.of("b"), registeredTargets());
    }
}
