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
    private static final long RENEWAL_INTERVAL_MS = 1_000;
    private static final long REGISTRATION_RETRY_MS = 300;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final WatchableStore mStore;
    private final String mHost;
    private final long mIncarnation;
    private final String mPeerAddress;
    private final Runnable mOnStoreUnresponsive;
    private long mLeaseId;
    private long mConfirmedAt;
    private boolean mStoreLost;
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
        mOnStoreUnresponsive = onSilence;
    }

    public String host() {
        return mHost;
    }

    public long incarnation() {
        return mIncarnation;
    }

    /** Returns the lease's id; 0 while there is none. */
    public long id() {
        return mLeaseId;
    }

    /** Tells whether the store confirmed the lease so lately that it surely holds. */
    public boolean isHeld() {
        long age = mTicker.nanoTime() - mConfirmedAt;
        return mLeaseId != 0 && age < TimeUnit.MILLISECONDS.toNanos(TTL_MS);
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
                .onSuccess(lease -> onRegistered(lease, askedAt))
                .onFailure(
                        e -> {
                            onStoreFailure(e);
                            mVertx.setTimer(REGISTRATION_RETRY_MS, t -> register());
                        });
    }

    private void onRegistered(long lease, long askedAt) {
        mLeaseId = lease;
        mConfirmedAt = askedAt;
        mStoreLost = false;
        LOG.info("step=register host={} lease={} outcome=registered", mHost, lease);
        scheduleRenewal();
    }

    private void scheduleRenewal() {
        mVertx.setTimer(RENEWAL_INTERVAL_MS, t -> renew());
    }

    private void renew() {
        if (mClosed) {
            return;
        }
        long askedAt = mTicker.nanoTime();
        mStore.keepAlive(mLeaseId)
                .onSuccess(held -> onRenewed(held, askedAt))
                .onFailure(
                        e -> {
                            onStoreFailure(e);
                            mOnStoreUnresponsive.run();
                            scheduleRenewal();
                        });
    }

    private void onRenewed(boolean held, long askedAt) {
        if (!held) {
            LOG.warn("step=register host={} lease={} outcome=lapsed", mHost, mLeaseId);
            mLeaseId = 0;
            register();
            return;
        }
        if (mStoreLost) {
            LOG.info("step=register host={} lease={} outcome=regained", mHost, mLeaseId);
            mStoreLost = false;
        }
        mConfirmedAt = askedAt;
        scheduleRenewal();
    }

    private void onStoreFailure(Throwable e) {
        if (!mStoreLost) {
            mStoreLost = true;
            LOG.warn(
                    "step=register host={} lease={} outcome=store-lost cause={}",
                    mHost,
                    mLeaseId,
                    e.getMessage());
        }
    }

    /** Gives everything up that is held under the lease. */
    public void release() {
        mClosed = true;
        if (mLeaseId != 0) {
            mStore.revokeLease(mLeaseId)
                    .onFailure(e -> LOG.warn("step=stop outcome=lease-kept cause={}", e + ""));
        }
    }

    @Override
    public void close() {
        mClosed = true;
    }
}
