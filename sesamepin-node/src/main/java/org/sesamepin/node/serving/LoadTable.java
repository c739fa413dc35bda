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
 * Loads of all targets by incarnation, with what the peers reported. A peer that has fallen silent
 * no longer counts after a short time. Confined to the event loop.
 */
public final class LoadTable {
    private static final long REPORT_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private record Report(long at, List<InFlight> inFlight) {}

    private final Ticker mTicker;
    private final Map<String, TargetLoad> mLoads = new HashMap<>();
    private final Map<String, Report> mReports = new HashMap<>();
    private Runnable mOnEnd = () -> {};

    /** Creates an empty table. */
    public LoadTable(Ticker ticker) {
        mTicker = ticker;
    }

    /** Sets what runs when a request of this host has left a target. */
    public void onEnd(Runnable listener) {
        mOnEnd = listener;
    }

    /** Notes that a request of this host has left {@code target}. */
    public void ended(TargetInstance target, boolean batch) {
        of(target).recordEnd(batch);
        mOnEnd.run();
    }

    /** Returns the load of {@code target}. */
    public TargetLoad of(TargetInstance target) {
        return of(target.incarnation());
    }

    private TargetLoad of(String incarnation) {
        return mLoads.computeIfAbsent(incarnation, i -> new TargetLoad());
    }

    /** Takes in what a peer has in flight. */
    public void reported(HostReport report) {
        mReports.put(report.getHost(), new Report(mTicker.nanoTime(), report.getInFlight()));
        addUp();
    }

    private void addUp() {
        long now = mTicker.nanoTime();
        mReports.values().removeIf(report -> now - report.at() > REPORT_LIFE_NANOS);
        Map<String, int[]> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            for (InFlight entry : report.inFlight()) {
                int[] sum = sums.computeIfAbsent(entry.getTarget(), t -> new int[2]);
                sum[0] += entry.getOnline();
                sum[1] += entry.getBatch();
            }
        }
        int[] none = new int[2];
        mLoads.forEach(
                (incarnation, load) -> {
                    int[] sum = sums.getOrDefault(incarnation, none);
                    load.setPeerRequests(sum[0], sum[1]);
                });
    }

    /** Returns what this host has in flight. */
    public List<InFlight> own() {
        List<InFlight> own = new ArrayList<>();
        mLoads.forEach(
                (incarnation, load) -> {
                    if (load.ownOnlineInFlight() + load.ownBatchInFlight() > 0) {
                        own.add(
                                new InFlight(
                                        incarnation,
                                        load.ownOnlineInFlight(),
                                        load.ownBatchInFlight()));
                    }
                });
        return own;
    }

    /** Returns the incarnations of the targets that lately failed requests of this host. */
    public List<String> failing() {
        long now = mTicker.nanoTime();
        return mLoads.entrySet().stream()
                .filter(entry -> entry.getValue().isBackingOff(now))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the mean time between two events of a stream, milliseconds, by incarnation, for the
     * targets that this host has measured.
     */
    public Map<String, Double> eventMs() {
        Map<String, Double> eventMs = new HashMap<>();
        mLoads.forEach(
                (incarnation, load) -> {
                    if (load.eventIntervalMs() > 0) {
                        eventMs.put(incarnation, load.eventIntervalMs());
                    }
                });
        return eventMs;
    }

    /** Forgets targets that are gone and have nothing in flight. */
    public void retainRegistered(ServingState state) {
        mLoads.entrySet()
                .removeIf(
                        entry -> {
                            String id = entry.getKey().substring(0, entry.getKey().indexOf('@'));
                            TargetInstance current = state.targets().get(id);
                            boolean known =
                                    current != null && current.incarnation().equals(entry.getKey());
                            TargetLoad load = entry.getValue();
                            return !known
                                    && load.ownOnlineInFlight() + load.ownBatchInFlight() == 0;
                        });
    }
}
