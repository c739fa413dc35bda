package org.sesamepin.node.fleet;

import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.sesamepin.core.membership.ShareLease;
import org.sesamepin.node.slot.TargetHealth;
import org.sesamepin.node.spi.HostList;

/**
 * Polls the platform's list of hosts, so that leaving targets get no new work and removed hosts no
 * share of the customers' rates.
 */
public final class HostListWatcher implements AutoCloseable {
    private static final long POLL_INTERVAL_MS = 1_000;

    private final Vertx mVertx;
    private final HostList mList;
    private final String mSelf;
    private final TargetHealth mHealth;
    private final ShareLease mShareLease;
    private final long mTimer;

    /** Creates a watcher and starts it. */
    public HostListWatcher(
            Vertx vertx, HostList list, String self, TargetHealth health, ShareLease shareLease) {
        mVertx = vertx;
        mList = list;
        mSelf = self;
        mHealth = health;
        mShareLease = shareLease;
        mTimer = vertx.setPeriodic(0, POLL_INTERVAL_MS, t -> poll());
    }

    private void poll() {
        mList.read().onSuccess(this::onHosts);
    }

    private void onHosts(Map<String, HostList.State> hosts) {
        Set<String> leaving =
                hosts.entrySet().stream()
                        .filter(e -> e.getValue() == HostList.State.LEAVING)
                        .map(Map.Entry::getKey)
                        .collect(Collectors.toSet());
        mHealth.setLeavingHosts(leaving);
        if (hosts.containsKey(mSelf)) {
            Set<String> removed =
                    mShareLease.assignment().hosts().stream()
                            .filter(h -> !hosts.containsKey(h))
                            .collect(Collectors.toSet());
            mShareLease.setRemovedHosts(removed);
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
