package org.sesamepin.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.sesamepin.core.membership.Assignment;

/** The platform's store in virtual time: holds the assignment and a lease for each host. */
final class SimulatedStore {
    private final Map<String, Long> mLeases = new HashMap<>();
    private Assignment mAssignment = Assignment.NONE;
    private boolean mDown;

    void setDown(boolean down, long now, long leaseTtlNanos) {
        if (mDown && !down) {
            // Leases do not expire while the store is down.
            mLeases.replaceAll((host, expiresAt) -> Math.max(expiresAt, now + leaseTtlNanos));
        }
        mDown = down;
    }

    boolean isDown() {
        return mDown;
    }

    Assignment assignment() {
        return mAssignment;
    }

    void renewLease(String host, long expiresAt) {
        mLeases.put(host, expiresAt);
    }

    void revokeLease(String host) {
        mLeases.remove(host);
    }

    TreeMap<String, Integer> liveHosts(long now) {
        TreeMap<String, Integer> live = new TreeMap<>();
        mLeases.forEach(
                (host, expiresAt) -> {
                    if (expiresAt > now) {
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
