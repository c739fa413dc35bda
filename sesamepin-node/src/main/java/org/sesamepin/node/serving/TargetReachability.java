package org.sesamepin.node.serving;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.CompositeFuture;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.target.HostIsolation;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.tunnel.DirectPath;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out whether this host is cut off from the targets. When a request gives reason to doubt,
 * connects to some targets and closes the connections at once, and asks peers about those that it
 * cannot reach; while cut off, probes one target at a time. Confined to the event loop.
 */
public final class TargetReachability implements DirectPath, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TargetReachability.class);
    private static final int CONNECT_TIMEOUT_MS = 150;
    private static final int FIRST_TARGETS_OF_ROUND = 3;

    /** So many that hardly all of them have ended while others run. */
    private static final int FURTHER_TARGETS_OF_ROUND = 8;

    private static final int MAX_PEERS_TO_COMPARE = 3;
    private static final long PROBE_INTERVAL_MS = 200;
    private static final long MIN_ROUND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long MIN_ASKED_ROUND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** A single target tells nothing of the path. */
    private static final int MIN_COMPARABLE_TARGETS = 2;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final LoadTable mLoads;
    private final PeerTunnels mPeers;
    private final NetClient mClient;
    private final HostIsolation mIsolation = new HostIsolation();
    private Future<?> mRound = Future.succeededFuture();
    private long mRoundStartedAt;
    private long mIsolations;
    private boolean mClosed;

    /** Creates an instance that holds the path to the targets for sound. */
    public TargetReachability(
            Vertx vertx, Ticker ticker, ServingState state, LoadTable loads, PeerTunnels peers) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mLoads = loads;
        mPeers = peers;
        mClient =
                vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
        mRoundStartedAt = ticker.nanoTime() - MIN_ROUND_INTERVAL_NANOS;
    }

    @Override
    public boolean isIsolated() {
        return mIsolation.isIsolated();
    }

    /** Returns how often this host was found to be cut off. */
    public long isolations() {
        return mIsolations;
    }

    /** Returns whether this host cannot reach targets, be it for its path or for theirs. */
    boolean isSuspect() {
        return mIsolation.isSuspect(registered(), mTicker.nanoTime());
    }

    /** Returns the number of targets that may be probed; those in evacuated domains may not. */
    private int registered() {
        return mState.targets().targetsOutsideEvacuation().size();
    }

    @Override
    public void recordConnected() {
        if (mIsolation.recordConnected(mTicker.nanoTime())) {
            LOG.warn("step=path outcome=regained");
        }
    }

    @Override
    public void recordFailed(String incarnation) {
        mIsolation.recordFailed(incarnation, mTicker.nanoTime());
        doubt();
    }

    @Override
    public void recordSilent(String incarnation) {
        mIsolation.recordSilent(incarnation, mTicker.nanoTime());
        doubt();
    }

    /** Records that a peer connected to a target just now. */
    void recordReachedByPeer(String incarnation) {
        mIsolation.recordReachedByPeer(incarnation, mTicker.nanoTime());
    }

    /** Records that a peer that reaches other targets cannot connect to a target. */
    void recordUnreachableFromPeer(String incarnation) {
        mIsolation.recordUnreachableFromPeer(incarnation, mTicker.nanoTime());
    }

    /** Probes some targets, unless that was done a moment ago. */
    public void doubt() {
        if (!mClosed && !isIsolated() && nanosToNextRound(MIN_ROUND_INTERVAL_NANOS) <= 0) {
            startRound();
        }
    }

    private long nanosToNextRound(long minInterval) {
        return mRoundStartedAt + minInterval - mTicker.nanoTime();
    }

    private void startRound() {
        mRoundStartedAt = mTicker.nanoTime();
        // Peers that are asked may wait for a round of their own, so no round waits for them.
        mRound = probeSome().onFailure(e -> askPeers().onSuccess(done -> judge()));
    }

    @Override
    public Future<Boolean> isSound() {
        if (mClosed || isIsolated() || registered() < MIN_COMPARABLE_TARGETS) {
            return Future.succeededFuture(!isIsolated());
        }
        long askedAt = mTicker.nanoTime();
        return roundSince(askedAt)
                .transform(done -> Future.succeededFuture(mIsolation.wasConnectedSince(askedAt)));
    }

    /** Returns a round that ends after {@code moment}; those asked for in numbers share one. */
    private Future<?> roundSince(long moment) {
        if (mClosed || !mRound.isComplete() || mRoundStartedAt - moment >= 0) {
            return mRound;
        }
        long waitNanos = nanosToNextRound(MIN_ASKED_ROUND_INTERVAL_NANOS);
        if (waitNanos <= 0) {
            startRound();
            return mRound;
        }
        long waitMs = TimeUnit.NANOSECONDS.toMillis(waitNanos) + 1;
        return mVertx.timer(waitMs).compose(t -> roundSince(moment));
    }

    /** Ends at the first connection that is made; fails when none is. */
    private Future<CompositeFuture> probeSome() {
        List<TargetInstance> targets = shuffledTargets();
        int first = Math.min(FIRST_TARGETS_OF_ROUND, targets.size());
        int end = Math.min(first + FURTHER_TARGETS_OF_ROUND, targets.size());
        return probeAny(targets.subList(0, first))
                .recover(e -> probeAny(targets.subList(first, end)));
    }

    private Future<CompositeFuture> probeAny(List<TargetInstance> targets) {
        return targets.isEmpty()
                ? Future.failedFuture("no target to connect to")
                : Future.any(targets.stream().map(this::probe).toList());
    }

    private Future<CompositeFuture> askPeers() {
        List<String> incarnations = mIsolation.targetsToCompare(registered(), mTicker.nanoTime());
        return Future.join(incarnations.stream().map(this::askPeersAbout).toList());
    }

    private Future<?> askPeersAbout(String incarnation) {
        TargetInstance target = mState.targets().findIncarnation(incarnation);
        return target == null || mState.targets().isEvacuated(target)
                ? Future.succeededFuture()
                : mPeers.view(target, MAX_PEERS_TO_COMPARE)
                        .onSuccess(view -> record(incarnation, view));
    }

    private void record(String incarnation, PeerTunnels.PeerView view) {
        switch (view) {
            case REACHED -> recordReachedByPeer(incarnation);
            case UNREACHABLE -> recordUnreachableFromPeer(incarnation);
            case UNKNOWN -> mIsolation.recordUnknownToPeers(incarnation, mTicker.nanoTime());
        }
    }

    private void judge() {
        int registered = registered();
        long now = mTicker.nanoTime();
        if (!mIsolation.judge(registered, now)) {
            return;
        }
        mIsolations++;
        mLoads.forgetFailuresExceptOf(mIsolation.unreachableTargets(now));
        LOG.warn("step=path outcome=isolated targets={}", registered);
        probeLater();
    }

    private List<TargetInstance> shuffledTargets() {
        List<TargetInstance> targets = new ArrayList<>(mState.targets().targetsOutsideEvacuation());
        Collections.shuffle(targets);
        return targets;
    }

    private Future<?> probe(TargetInstance target) {
        return mClient.connect(target.address().getPort(), target.address().getHostString())
                .onSuccess(
                        socket -> {
                            socket.close();
                            recordConnected();
                        })
                .onFailure(e -> recordProbeFailed(target.incarnation(), e));
    }

    private void recordProbeFailed(String incarnation, Throwable e) {
        long now = mTicker.nanoTime();
        if (e instanceof ConnectException && !(e instanceof ConnectTimeoutException)) {
            mIsolation.recordFailed(incarnation, now);
        } else {
            mIsolation.recordSilent(incarnation, now);
        }
    }

    private void probeLater() {
        mVertx.setTimer(PROBE_INTERVAL_MS, t -> probeWhileIsolated());
    }

    private void probeWhileIsolated() {
        if (mClosed || !isIsolated()) {
            return;
        }
        shuffledTargets().stream().findFirst().ifPresent(this::probe);
        probeLater();
    }

    @Override
    public void close() {
        mClosed = true;
        mClient.close();
    }
}
