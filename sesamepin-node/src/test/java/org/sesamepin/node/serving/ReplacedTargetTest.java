package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/** Checks whether a target is still the one that was looked up. */
class ReplacedTargetTest {
    private static TargetInstance target(String id, long startedAtMs, String version) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        return new TargetInstance(
                id, startedAtMs, "s", version, address, "a", 8, TargetState.READY, 0);
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
