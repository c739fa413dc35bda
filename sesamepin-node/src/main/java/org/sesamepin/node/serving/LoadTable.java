package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetLoad;
import org.sesamepin.core.target.TargetPaces;
import org.sesamepin.core.target.TargetRateLimits;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.peer.generated.InFlight;
import org.sesamepin.node.peer.generated.TargetLimit;
import org.sesamepin.node.peer.generated.TargetPace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads of all targets by incarnation, including what the peers reported. The reports of an
 * unresponsive peer expire after a short time. Confined to the event loop.
 */
public final class LoadTable {
    private static final Logger LOG = LoggerFactory.getLogger(LoadTable.class);
    private static final long REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Shortest time between two sums over the reports of all peers. */
    private static final long SUM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private record Report(long receivedAt, List<InFlight> inFlight) {}

    private final Ticker mTicker;
    private final Map<String, TargetLoad> mLoads = new HashMap<>();
    private final WarmUpTracker mWarmUps;
    private final TargetRateLimits mLimits;
    private final TargetPaces mPaces = new TargetPaces();
    private final TargetPaces mOwnPaces = new TargetPaces();
    private final Set<String> mUnreadablePaces = new HashSet<>();
    private final Map<String, Report> mReports = new HashMap<>();
    private Runnable mEndListener = () -> {};
    private boolean mSumsOutdated;
    private long mSummedAt;

    /** Creates an empty table of targets that are never cold. */
    public LoadTable(Ticker ticker) {
        this(ticker, new WarmUpTracker(ticker, new ServingState()));
    }

    /** Creates an empty table of targets that are cold when {@code warmUps} says so. */
    LoadTable(Ticker ticker, WarmUpTracker warmUps) {
        mWarmUps = warmUps;
        mLimits = new TargetRateLimits(warmUps.coldTargets());
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

    /** Returns the limits that targets have named, to this host or to a peer. */
    public TargetRateLimits limits() {
        return mLimits;
    }

    /**
     * Records what an answer of {@code target} said about the requests that it takes, and runs the
     * listener when that changed, so that the coordinators learn it soon.
     *
     * @param perS requests per second; {@link TargetRateLimits#NO_LIMIT} when it named none
     */
    void recordLimit(TargetInstance target, double perS) {
        if (mLimits.observe(target.incarnation(), perS, mTicker.nanoTime())) {
            LOG.info("step=target-limit target={} per_s={}", target.incarnation(), perS);
            mEndListener.run();
        }
    }

    /** Adds to a report which requests targets take, and how long work takes there. */
    void addLimitsTo(HostReport report) {
        List<TargetLimit> limits = limitsForReport();
        if (!limits.isEmpty()) {
            report.setTargetLimits(limits);
        }
        List<TargetPace> paces = pacesForReport();
        if (!paces.isEmpty()) {
            report.setTargetLoads(paces);
        }
        mWarmUps.addTo(report);
    }

    /** Returns how long work takes at targets now, as they named it to this host or to a peer. */
    public TargetPaces paces() {
        return mPaces;
    }

    /**
     * Records how long an answer of {@code target} says that work takes there now. One that cannot
     * be read is logged once for each incarnation, and counts as none.
     *
     * @param pace time relative to the usual time; {@link TargetPaces#NONE} when it named none
     */
    void recordPace(TargetInstance target, double pace) {
        String incarnation = target.incarnation();
        long now = mTicker.nanoTime();
        mOwnPaces.observe(incarnation, pace, now);
        mPaces.observe(incarnation, pace, now);
        if (pace <= 0 && mUnreadablePaces.add(incarnation)) {
            LOG.warn("step=target-load target={} outcome=unreadable", incarnation);
        }
    }

    /** Returns the targets whose answers to this host lately named how long work takes there. */
    List<TargetPace> pacesForReport() {
        long now = mTicker.nanoTime();
        List<TargetPace> paces = new ArrayList<>();
        mOwnPaces
                .observations(now)
                .forEach(
                        (target, seen) -> {
                            long ageMs = TimeUnit.NANOSECONDS.toMillis(now - seen.observedAt());
                            paces.add(new TargetPace(target, seen.factor(), ageMs));
                        });
        return paces;
    }

    private void adoptPaces(List<TargetPace> paces) {
        long now = mTicker.nanoTime();
        for (TargetPace pace : paces) {
            long observedAt = now - TimeUnit.MILLISECONDS.toNanos(pace.getAgeMs());
            mPaces.observe(pace.getTarget(), pace.getFactor(), observedAt);
        }
    }

    /** Returns the number of targets that have lately named how long work takes there. */
    int targetsWithPace() {
        return mPaces.observations(mTicker.nanoTime()).size();
    }

    private List<TargetLimit> limitsForReport() {
        long now = mTicker.nanoTime();
        List<TargetLimit> limits = new ArrayList<>();
        mLimits.observations()
                .forEach(
                        (target, seen) -> {
                            long ageMs = TimeUnit.NANOSECONDS.toMillis(now - seen.observedAt());
                            limits.add(new TargetLimit(target, seen.perS(), ageMs));
                        });
        return limits;
    }

    private void adoptLimits(List<TargetLimit> limits) {
        long now = mTicker.nanoTime();
        for (TargetLimit limit : limits) {
            long observedAt = now - TimeUnit.MILLISECONDS.toNanos(limit.getAgeMs());
            mLimits.observe(limit.getTarget(), limit.getPerS(), observedAt);
        }
    }

    /** Records what a peer has in flight, and the limits that it knows. */
    public void recordReport(HostReport report) {
        if (report.isSetTargetLimits()) {
            adoptLimits(report.getTargetLimits());
        }
        mWarmUps.recordReport(report);
        if (report.isSetTargetLoads()) {
            adoptPaces(report.getTargetLoads());
        }
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

    /** Forgets the failures of targets that are not known to fail for all hosts. */
    void forgetFailuresExceptOf(Set<String> incarnations) {
        mLoads.forEach(
                (incarnation, load) -> {
                    if (!incarnations.contains(incarnation)) {
                        load.recordSuccess();
                    }
                });
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
     * flight, and the limits of those that are warm by now.
     */
    public void retainRegistered(ServingState state) {
        mWarmUps.removeWarm();
        mLimits.retain(target -> isRegistered(state, target));
        mPaces.retain(target -> isRegistered(state, target));
        mOwnPaces.retain(target -> isRegistered(state, target));
        mUnreadablePaces.removeIf(target -> !isRegistered(state, target));
        mLoads.entrySet()
                .removeIf(
                        entry -> {
                            TargetLoad load = entry.getValue();
                            return !isRegistered(state, entry.getKey())
                                    && load.ownOnlineInFlight() + load.ownBatchInFlight() == 0;
                        });
    }

    private static boolean isRegistered(ServingState state, String incarnation) {
        String id = incarnation.substring(0, incarnation.indexOf('@'));
        TargetInstance current = state.targets().get(id);
        return current != null && current.incarnation().equals(incarnation);
    }
}
