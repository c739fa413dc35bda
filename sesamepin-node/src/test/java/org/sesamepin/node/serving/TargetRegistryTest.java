package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
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
    private final TargetRegistry mRegistry =
            new TargetRegistry(mVertx, () -> 0, protocol(), mState);

    /** Returns a protocol that only decodes targets. */
    private static FleetProtocol protocol() {
        return (FleetProtocol)
                Proxy.newProxyInstance(
                        FleetProtocol.class.getClassLoader(),
                        new Class<?>[] {FleetProtocol.class},
                        (proxy, method, args) -> decode((String) args[0], (byte[]) args[1]));
    }

    private static TargetInstance decode(String key, byte[] value) throws SesamepinException {
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
                0);
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
