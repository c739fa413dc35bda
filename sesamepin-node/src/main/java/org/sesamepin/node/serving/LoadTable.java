package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetLoad;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;

/**
 * Loads of all targets by incarnation, including what the peers reported. The reports of an
 * unresponsive peer expire after a short time. Confined to the event loop.
 */
public final class LoadTable {
    private static final long REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Shortest time between two sums over the reports of all peers. */
    private static final long SUM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private record Report(long receivedAt, List<InFlight> inFlight) {}

    private final Ticker mTicker;
    private final Map<String, TargetLoad> mLoads = new HashMap<>();
    private final Map<String, Report> mReports = new HashMap<>();
    private Runnable mEndListener = () -> {};
    private boolean mSumsOutdated;
    private long mSummedAt;

    /** Creates an empty table. */
    public LoadTable(Ticker ticker) {
        mTicker = ticker;
        mSummedAt = ticker.nanoTime();
    }

    /** Sets the listener that runs each time a request of this host has ended at a target. */
    public void setEndListener(Runnable listener) {
        mEndListener = listener;
    }

    /** Records that a request of this host has ended at {@code target}, and runs the listener. */
    public void recordEnd(TargetInstance target, boolean batch) {
        loadOf(target).recordEnd(batch);
        mEndListener.run();
    }

    /** Returns the load of {@code target}, creating it when there is none yet. */
    public TargetLoad loadOf(TargetInstance target) {
        if (mSumsOutdated && mTicker.nanoTime() - mSummedAt >= SUM_INTERVAL_NANOS) {
            updatePeerLoads();
        }
        return loadOf(target.incarnation());
    }

    private TargetLoad loadOf(String incarnation) {
        return mLoads.computeIfAbsent(incarnation, i -> new TargetLoad());
    }

    /** Records what a peer has in flight. */
    public void recordReport(HostReport report) {
        mReports.put(report.getHost(), new Report(mTicker.nanoTime(), report.getInFlight()));
        mSumsOutdated = true;
    }

    private void updatePeerLoads() {
        long now = mTicker.nanoTime();
        mSummedAt = now;
        mReports.values().removeIf(report -> now - report.receivedAt() > REPORT_TTL_NANOS);
        // Reports expire, so the sums have to be made again as long as there are any.
        mSumsOutdated = !mReports.isEmpty();
        Map<String, int[]> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            for (InFlight entry : report.inFlight()) {
                int[] sum = sums.computeIfAbsent(entry.getTarget(), t -> new int[2]);
                sum[0] += entry.getOnline();
                sum[1] += entry.getBatch();
            }
        }
        int[] noRequests = new int[2];
        mLoads.forEach(
                (incarnation, load) -> {
                    int[] sum = sums.getOrDefault(incarnation, noRequests);
                    load.setPeerRequests(sum[0], sum[1]);
                });
    }

    /** Returns the number of requests that this host has in flight at each target. */
    public List<InFlight> ownInFlight() {
        List<InFlight> inFlight = new ArrayList<>();
        mLoads.forEach(
                (incarnation, load) -> {
                    if (load.ownOnlineInFlight() + load.ownBatchInFlight() > 0) {
                        inFlight.add(
                                new InFlight(
                                        incarnation,
                                        load.ownOnlineInFlight(),
                                        load.ownBatchInFlight()));
                    }
                });
        return inFlight;
    }

    /** Returns the incarnations of the targets that recently failed requests of this host. */
    public List<String> failingTargets() {
        long now = mTicker.nanoTime();
        return mLoads.entrySet().stream()
                .filter(entry -> entry.getValue().isBackingOff(now))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the mean time between two events of a stream, milliseconds, by incarnation, for the
     * targets at which this host has measured it.
     */
    public Map<String, Double> meanEventIntervalsMs() {
        Map<String, Double> intervalsMs = new HashMap<>();
        mLoads.forEach(
                (incarnation, load) -> {
                    if (load.eventIntervalMs() > 0) {
                        intervalsMs.put(incarnation, load.eventIntervalMs());
                    }
                });
        return intervalsMs;
    }

    /**
     * Drops the loads of targets that are no longer registered and have nothing of this host in
     * flight.
     */
    public void retainRegistered(ServingState state) {
        mLoads.entrySet()
                .removeIf(
                        entry -> {
                            String id = entry.getKey().substring(0, entry.getKey().indexOf('@'));
                            TargetInstance current = state.targets().get(id);
                            boolean registered =
                                    current != null && current.incarnation().equals(entry.getKey());
                            TargetLoad load = entry.getValue();
                            return !registered
                                    && load.ownOnlineInFlight() + load.ownBatchInFlight() == 0;
                        });
    }
}
