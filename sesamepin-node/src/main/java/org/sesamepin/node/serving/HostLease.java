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
 * Registers this host in the store under a lease and renews the lease. Everything that the host
 * owns is written under the same lease, so that other hosts can take it over when this host fails
 * and the lease expires.
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
    private final double mCores;
    private final Runnable mOnStoreUnresponsive;
    private long mLeaseId;
    private long mConfirmedAt;
    private boolean mStoreLost;
    private boolean mClosed;

    /**
     * Creates a lease without registering the host.
     *
     * @param cores processor capacity of the host, in cores
     * @param onStoreUnresponsive runs when the store did not reply to a renewal; open connections
     *     to it may be dead
     */
    public HostLease(
            Vertx vertx,
            Ticker ticker,
            WatchableStore store,
            String host,
            long incarnation,
            String peerAddress,
            double cores,
            Runnable onStoreUnresponsive) {
        mVertx = vertx;
        mTicker = ticker;
        mStore = store;
        mHost = host;
        mIncarnation = incarnation;
        mPeerAddress = peerAddress;
        mCores = cores;
        mOnStoreUnresponsive = onStoreUnresponsive;
    }

    public String host() {
        return mHost;
    }

    public long incarnation() {
        return mIncarnation;
    }

    /** Returns the id of the lease; 0 while there is none. */
    public long id() {
        return mLeaseId;
    }

    /**
     * Returns whether the store confirmed the lease within its time to live, so that it cannot have
     * expired.
     */
    public boolean isHeld() {
        long age = mTicker.nanoTime() - mConfirmedAt;
        return mLeaseId != 0 && age < TimeUnit.MILLISECONDS.toNanos(TTL_MS);
    }

    /** Starts the registration, which is repeated until it succeeds. */
    public void start() {
        register();
    }

    private void register() {
        if (mClosed) {
            return;
        }
        long requestedAt = mTicker.nanoTime();
        mStore.grantLeaseMs(TTL_MS)
                .compose(
                        leaseId -> {
                            String value =
                                    new JsonObject()
                                            .put("peer", mPeerAddress)
                                            .put("incarnation", mIncarnation)
                                            .put("cores", mCores)
                                            .encode();
                            StoreTransaction put =
                                    new StoreTransaction()
                                            .put(
                                                    ServingKeys.host(mHost),
                                                    value.getBytes(StandardCharsets.UTF_8),
                                                    leaseId);
                            return mStore.commit(put).map(leaseId);
                        })
                .onSuccess(leaseId -> onRegistered(leaseId, requestedAt))
                .onFailure(
                        e -> {
                            onStoreFailure(e);
                            mVertx.setTimer(REGISTRATION_RETRY_MS, t -> register());
                        });
    }

    private void onRegistered(long leaseId, long requestedAt) {
        mLeaseId = leaseId;
        mConfirmedAt = requestedAt;
        mStoreLost = false;
        LOG.info("step=register host={} lease={} outcome=registered", mHost, leaseId);
        scheduleRenewal();
    }

    private void scheduleRenewal() {
        mVertx.setTimer(RENEWAL_INTERVAL_MS, t -> renew());
    }

    private void renew() {
        if (mClosed) {
            return;
        }
        long requestedAt = mTicker.nanoTime();
        mStore.keepAlive(mLeaseId)
                .onSuccess(stillHeld -> onRenewed(stillHeld, requestedAt))
                .onFailure(
                        e -> {
                            onStoreFailure(e);
                            mOnStoreUnresponsive.run();
                            scheduleRenewal();
                        });
    }

    private void onRenewed(boolean stillHeld, long requestedAt) {
        if (!stillHeld) {
            LOG.warn("step=register host={} lease={} outcome=lapsed", mHost, mLeaseId);
            mLeaseId = 0;
            register();
            return;
        }
        if (mStoreLost) {
            LOG.info("step=register host={} lease={} outcome=regained", mHost, mLeaseId);
            mStoreLost = false;
        }
        mConfirmedAt = requestedAt;
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

    /** Revokes the lease and with it everything that is written under it. */
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
