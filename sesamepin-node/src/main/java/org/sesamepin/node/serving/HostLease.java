package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this host in the store under a lease and keeps the lease. What the host owns is written
 * under the same lease, so that it becomes free when the host is gone.
 */
public final class HostLease implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HostLease.class);
    private static final long TTL_MS = 4_000;
    private static final long RENEW_MS = 1_000;
    private static final long RETRY_MS = 300;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final WatchableStore mStore;
    private final String mHost;
    private final long mIncarnation;
    private final String mPeerAddress;
    private final Runnable mOnSilence;
    private long mLease;
    private long mConfirmedAt;
    private boolean mLost;
    private boolean mClosed;

    /**
     * Creates an unregistered lease.
     *
     * @param onSilence runs when the store did not answer: open connections may be silent
     */
    public HostLease(
            Vertx vertx,
            Ticker ticker,
            WatchableStore store,
            String host,
            long incarnation,
            String peerAddress,
            Runnable onSilence) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mHost = host;
        mIncarnation = incarnation;
        mPeerAddress = peerAddress;
        mOnSilence = onSilence;
    }

    public String host() {
        return mHost;
    }

    public long incarnation() {
        return mIncarnation;
    }

    /** Returns the lease's id; 0 while there is none. */
    public long id() {
        return mLease;
    }

    /** Tells whether the store confirmed the lease so lately that it surely holds. */
    public boolean isHeld() {
        long age = mTicker.nanoTime() - mConfirmedAt;
        return mLease != 0 && age < TimeUnit.MILLISECONDS.toNanos(TTL_MS);
    }

    /** Starts registering. */
    public void start() {
        register();
    }

    private void register() {
        if (mClosed) {
            return;
        }
        long askedAt = mTicker.nanoTime();
        mStore.grantLeaseMs(TTL_MS)
                .compose(
                        lease -> {
                            String value =
                                    new JsonObject()
                                            .put("peer", mPeerAddress)
                                            .put("incarnation", mIncarnation)
                                            .encode();
                            StoreTransaction put =
                                    new StoreTransaction()
                                            .put(
                                                    ServingKeys.host(mHost),
                                                    value.getBytes(StandardCharsets.UTF_8),
                                                    lease);
                            return mStore.commit(put).map(lease);
                        })
                .onSuccess(lease -> registered(lease, askedAt))
                .onFailure(
                        e -> {
                            lost(e);
                            mVertx.setTimer(RETRY_MS, t -> register());
                        });
    }

    private void registered(long lease, long askedAt) {
        mLease = lease;
        mConfirmedAt = askedAt;
        mLost = false;
        LOG.info("step=register host={} lease={} outcome=registered", mHost, lease);
        renewLater();
    }

    private void renewLater() {
        mVertx.setTimer(RENEW_MS, t -> renew());
    }

    private void renew() {
        if (mClosed) {
            return;
        }
        long askedAt = mTicker.nanoTime();
        mStore.keepAlive(mLease)
                .onSuccess(held -> renewed(held, askedAt))
                .onFailure(
                        e -> {
                            lost(e);
                            mOnSilence.run();
                            renewLater();
                        });
    }

    private void renewed(boolean held, long askedAt) {
        if (!held) {
            LOG.warn("step=register host={} lease={} outcome=lapsed", mHost, mLease);
            mLease = 0;
            register();
            return;
        }
        if (mLost) {
            LOG.info("step=register host={} lease={} outcome=regained", mHost, mLease);
            mLost = false;
        }
        mConfirmedAt = askedAt;
        renewLater();
    }

    private void lost(Throwable e) {
        if (!mLost) {
            mLost = true;
            LOG.warn(
                    "step=register host={} lease={} outcome=store-lost cause={}",
                    mHost,
                    mLease,
                    e.getMessage());
        }
    }

    /** Gives everything up that is held under the lease. */
    public void release() {
        mClosed = true;
        if (mLease != 0) {
            mStore.revokeLease(mLease)
                    .onFailure(e -> LOG.warn("step=stop outcome=lease-kept cause={}", e + ""));
        }
    }

    @Override
    public void close() {
        mClosed = true;
    }
}
