package org.sesamepin.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.sesamepin.core.membership.Assignment;

/** The platform's store over virtual time: an assignment, and leases by host. */
final class SimulatedStore {
    private final Map<String, Long> mLeases = new HashMap<>();
    private Assignment mAssignment = Assignment.NONE;
    private boolean mDown;

    void setDown(boolean down, long now, long extension) {
        if (mDown && !down) {
            // Leases do not run out while the store is away.
            mLeases.replaceAll((host, endsAt) -> Math.max(endsAt, now + extension));
        }
        mDown = down;
    }

    boolean isDown() {
        return mDown;
    }

    Assignment assignment() {
        return mAssignment;
    }

    void renewLease(String host, long endsAt) {
        mLeases.put(host, endsAt);
    }

    void revokeLease(String host) {
        mLeases.remove(host);
    }

    TreeMap<String, Integer> liveHosts(long now) {
        TreeMap<String, Integer> live = new TreeMap<>();
        mLeases.forEach(
                (host, endsAt) -> {
                    if (endsAt > now) {
                        live.put(host, 1);
                    }
                });
        return live;
    }

    void compareAndSet(long expectedEpoch, Assignment next) {
        if (mAssignment.epoch() == expectedEpoch) {
            mAssignment = next;
        }
    }
}
