package org.sesamepin.node.serving;

import java.util.Map;
import java.util.Set;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.target.ColdTargets;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.HostReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out which targets are cold: those whose entries say so, and those that got no requests
 * while they were evacuated or absent and may have become cold before. Confined to the event loop.
 */
final class WarmUpTracker {
    private static final Logger LOG = LoggerFactory.getLogger(WarmUpTracker.class);

    private final Ticker mTicker;
    private final ServingState mState;
    private final ColdTargets mCold;

    /** Creates a tracker of the targets of {@code state}, none of which is cold yet. */
    WarmUpTracker(Ticker ticker, ServingState state) {
        mTicker = ticker;
        mState = state;
        mCold = new ColdTargets(name -> state.config().service(name));
    }

    ColdTargets coldTargets() {
        return mCold;
    }

    /** Records what an entry says that was written since the last one of its target. */
    void recordEntry(TargetInstance target) {
        if (mCold.recordStated(target, target.warmUpMs(), mTicker.nanoTime())) {
            log(target, target.warmUpMs(), "entry");
        }
    }

    /** Records that a target has registered anew following an absence. */
    void recordReturn(TargetInstance target) {
        recordFound(target, "registered-again");
    }

    /** Records that orders to evacuate {@code domains} were taken back. */
    void recordLifted(Set<String> domains) {
        for (TargetInstance target : mState.targets().targetsById().values()) {
            if (domains.contains(target.failureDomain())) {
                recordFound(target, "evacuation-lifted");
            }
        }
    }

    private long coldStartMs(TargetInstance target) {
        ServiceSpec spec = mState.config().service(target.service());
        return spec == null ? 0 : spec.coldStartMs();
    }

    private void recordFound(TargetInstance target, String cause) {
        long leftMs = coldStartMs(target);
        if (mCold.recordFound(target, leftMs, mTicker.nanoTime())) {
            log(target, leftMs, cause);
        }
    }

    private void log(TargetInstance target, long leftMs, String cause) {
        if (mCold.isCold(target.incarnation())) {
            LOG.info(
                    "step=warm-up target={} left_ms={} per_s={} cause={} outcome=cold",
                    target.incarnation(),
                    leftMs,
                    mCold.perS(target.incarnation()),
                    cause);
        }
    }

    /** Adopts what a peer has found out; a host that has just started has missed it. */
    void recordReport(HostReport report) {
        if (!report.isSetColdLeftMs()) {
            return;
        }
        for (Map.Entry<String, Long> entry : report.getColdLeftMs().entrySet()) {
            TargetInstance target = mState.targets().findIncarnation(entry.getKey());
            long now = mTicker.nanoTime();
            if (target != null && mCold.recordReported(target, entry.getValue(), now)) {
                log(target, entry.getValue(), "peer");
            }
        }
    }

    /** Adds to a report what this host has found out. */
    void addTo(HostReport report) {
        Map<String, Long> leftMs = mCold.foundLeftMs(mTicker.nanoTime());
        if (!leftMs.isEmpty()) {
            report.setColdLeftMs(leftMs);
        }
    }

    /** Drops the targets that are warm by now or are not registered any more. */
    void removeWarm() {
        for (String target : mCold.removeWarm(mTicker.nanoTime())) {
            LOG.info("step=warm-up target={} outcome=warm", target);
        }
        mCold.retain(target -> mState.targets().findIncarnation(target) != null);
    }

    /** Registers the metric of the cold targets. */
    void registerMetrics(ServingMetrics metrics) {
        metrics.gauge(
                "sesamepin_cold_targets",
                "Targets that get few requests until they are warm.",
                mCold::count);
    }
}
