package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
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
 * connects to some targets and closes the connections at once; while cut off, probes one target at
 * a time. Confined to the event loop.
 */
public final class TargetReachability implements DirectPath, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TargetReachability.class);
    private static final int CONNECT_TIMEOUT_MS = 150;
    private static final int TARGETS_PER_ROUND = 3;
    private static final long PROBE_INTERVAL_MS = 200;
    private static final long MIN_ROUND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final LoadTable mLoads;
    private final NetClient mClient;
    private final HostIsolation mIsolation = new HostIsolation();
    private Future<Void> mRound = Future.succeededFuture();
    private long mRoundStartedAt;
    private long mIsolations;
    private boolean mClosed;

    /** Creates an instance that holds the path to the targets for sound. */
    public TargetReachability(Vertx vertx, Ticker ticker, ServingState state, LoadTable loads) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mLoads = loads;
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

    @Override
    public void recordConnected() {
        if (mIsolation.recordConnected()) {
            LOG.warn("step=path outcome=regained");
        }
    }

    @Override
    public void recordFailed(String incarnation) {
        record(incarnation);
        doubt();
    }

    private void record(String incarnation) {
        int registered = mState.targets().targetsById().size();
        if (mIsolation.recordFailed(incarnation, registered, mTicker.nanoTime())) {
            mIsolations++;
            mLoads.forgetFailures();
            LOG.warn("step=path outcome=isolated targets={}", registered);
            probeLater();
        }
    }

    /** Probes some targets, unless that was done a moment ago. */
    public void doubt() {
        long now = mTicker.nanoTime();
        if (!isIsolated() && now - mRoundStartedAt >= MIN_ROUND_INTERVAL_NANOS) {
            mRoundStartedAt = now;
            mRound = probeSome();
        }
    }

    /** Returns whether this host is cut off, after the probes that are under way. */
    Future<Boolean> verdict() {
        doubt();
        return mRound.map(v -> isIsolated());
    }

    private Future<Void> probeSome() {
        List<TargetInstance> targets = shuffledTargets();
        List<Future<Void>> probes = new ArrayList<>();
        targets.stream().limit(TARGETS_PER_ROUND).forEach(target -> probes.add(probe(target)));
        return Future.join(probes).mapEmpty();
    }

    private List<TargetInstance> shuffledTargets() {
        List<TargetInstance> targets = new ArrayList<>(mState.targets().targetsById().values());
        Collections.shuffle(targets);
        return targets;
    }

    private Future<Void> probe(TargetInstance target) {
        return mClient.connect(target.address().getPort(), target.address().getHostString())
                .compose(
                        socket -> {
                            socket.close();
                            recordConnected();
                            return Future.<Void>succeededFuture();
                        })
                .recover(
                        e -> {
                            record(target.incarnation());
                            return Future.succeededFuture();
                        });
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
