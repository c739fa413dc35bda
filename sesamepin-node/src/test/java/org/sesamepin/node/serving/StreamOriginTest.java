package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/** Checks what a host knows of the software that began a stream, and for how long. */
class StreamOriginTest {
    private static final long TTL_MS = 1_000;
    private static final long TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(TTL_MS);
    private static final List<String> SERVICES = List.of("s");

    private final AtomicLong mNow = new AtomicLong();

    private static TargetInstance target(String id, long startedAtMs, String version) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance(
                id, startedAtMs, "s", version, address, "a", 8, TargetState.READY, 0);
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin(new TargetSoftware("s", version), null);
    }

    private static Optional<StreamOrigin> find(StreamOrigins origins, String id) {
        return origins.find(id).result().map(StreamOrigins.Found::origin);
    }

    @Test
    void originIsKeptForItsTimeAfterItWasLastRecorded() {
        LocalStreamOrigins origins = new LocalStreamOrigins(mNow::get, () -> TTL_MS, 10);
        origins.record("a", origin("v1"));
        mNow.set(TTL_NANOS);
        assertEquals(Optional.of(origin("v1")), find(origins, "a"));
        origins.record("a", origin("v1"));
        mNow.set(2 * TTL_NANOS);
        assertEquals(Optional.of(origin("v1")), find(origins, "a"));
        mNow.set(2 * TTL_NANOS + 1);
        assertEquals(Optional.empty(), find(origins, "a"));
        assertEquals(0, origins.size());
    }

    @Test
    void oldestOriginsAreDroppedFirstWhenThereAreTooMany() {
        LocalStreamOrigins origins = new LocalStreamOrigins(mNow::get, () -> TTL_MS, 3);
        for (int i = 0; i < 5; i++) {
            origins.record("s" + i, origin("v" + i));
        }
        assertEquals(3, origins.size());
        assertEquals(Optional.empty(), find(origins, "s1"));
        assertEquals(Optional.of(origin("v2")), find(origins, "s2"));
    }

    /** The only version is known only when no other can have served while the stream ran. */
    @Test
    void onlySoftwareIsThatOfAllTargetsForTheWholeTime() {
        SoftwareHistory history = new SoftwareHistory();
        assertNull(history.onlySoftware(SERVICES, 100, 1_000));
        history.record(List.of(target("t", 1, "v1")), 1_000);
        assertNull(history.onlySoftware(SERVICES, 100, 1_099), "not followed long enough");
        TargetSoftware v1 = new TargetSoftware("s", "v1");
        assertEquals(v1, history.onlySoftware(SERVICES, 100, 1_100));
        history.record(List.of(target("t", 1, "v1"), target("u", 1, "v2")), 1_200);
        assertNull(history.onlySoftware(SERVICES, 100, 1_300), "two versions serve");
        history.record(List.of(target("t", 1, "v1")), 1_400);
        assertNull(history.onlySoftware(SERVICES, 100, 1_500), "the other one served just before");
        assertEquals(v1, history.onlySoftware(SERVICES, 100, 1_501));
        history.recordGap(1_600);
        assertNull(history.onlySoftware(SERVICES, 100, 1_699), "changes may have been missed");
        assertEquals(v1, history.onlySoftware(SERVICES, 100, 1_700));
        assertNull(history.onlySoftware(List.of("other"), 100, 1_700));
    }

    /** A target whose entry changes its version in place is not the one that was looked up. */
    @Test
    void targetWithAnotherVersionIsNotTheOneThatWasPlaced() {
        ServingState state = new ServingState();
        TargetInstance placed = target("t", 1, "v1");
        state.setTargets(List.of(placed));
        assertTrue(state.targets().isReady(placed));
        assertFalse(state.targets().isReplaced(placed));
        state.setTargets(List.of(target("t", 1, "v2")));
        assertFalse(state.targets().isReady(placed));
        assertTrue(state.targets().isReplaced(placed));
        state.setTargets(List.of(target("t", 2, "v1")));
        assertTrue(state.targets().isReplaced(placed));
        state.setTargets(List.of());
        assertFalse(state.targets().isReplaced(placed));
    }
}
