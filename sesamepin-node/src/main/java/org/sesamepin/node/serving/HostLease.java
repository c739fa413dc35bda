package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.spi.StoreChange;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreEntry;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this host in the store under a lease and renews the lease. Everything that the host
 * owns is written under the same lease, so that other hosts can take it over when this host fails
 * and the lease expires.
 *
 * <p>Each write of the registration is conditional on the entry that it replaces, so that a write
 * that the store carries out late cannot replace a newer entry. The registration is compared with
 * what the store reports, and written again when it is missing or is not the one that this process
 * wrote last.
 */
public final class HostLease implements StoreMirror.Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HostLease.class);
    private static final long TTL_MS = 4_000;
    private static final long RENEWAL_INTERVAL_MS = 1_000;
    private static final long REGISTRATION_RETRY_MS = 300;

    /** Stands for the revision of a registration that no write of this process has confirmed. */
    private static final long UNCONFIRMED = 0;

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final WatchableStore mStore;
    private final String mHost;
    private final String mKey;
    private final long mIncarnation;
    private final byte[] mRegistration;
    private final Runnable mOnStoreUnresponsive;
    private long mLeaseId;

    /** Revision of the stored entry as last seen, which the next write replaces; 0 for none. */
    private long mStoredRevision;

    /** Revision at which the store confirmed the registration under the current lease. */
    private long mConfirmedRevision = UNCONFIRMED;

    private boolean mWriting;
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
        mKey = ServingKeys.host(host);
        mIncarnation = incarnation;
        mRegistration =
                new JsonObject()
                        .put("peer", peerAddress)
                        .put("incarnation", incarnation)
                        .put("cores", cores)
                        .encode()
                        .getBytes(StandardCharsets.UTF_8);
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
     * Returns when this host sent the latest renewal that the store confirmed, a reading of the
     * monotonic clock in nanoseconds.
     */
    public long renewedAt() {
        return mConfirmedAt;
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
        mConfirmedRevision = UNCONFIRMED;
        mStore.grantLeaseMs(TTL_MS)
                .compose(leaseId -> writeRegistration(leaseId).map(leaseId))
                .onSuccess(leaseId -> onRegistered(leaseId, requestedAt))
                .onFailure(
                        e -> {
                            onStoreFailure(e);
                            mVertx.setTimer(REGISTRATION_RETRY_MS, t -> register());
                        });
    }

    /**
     * Replaces the stored entry by this host's registration. Tries once more if the entry was
     * another one than expected.
     */
    private Future<Void> writeRegistration(long leaseId) {
        mWriting = true;
        return commitRegistration(leaseId)
                .compose(
                        committed ->
                                committed
                                        ? Future.succeededFuture(true)
                                        : commitRegistration(leaseId))
                .onComplete(done -> mWriting = false)
                .compose(
                        committed ->
                                committed
                                        ? Future.succeededFuture()
                                        : Future.failedFuture("the stored entry keeps changing"));
    }

    /** Writes the registration if the stored entry is the expected one; returns whether it was. */
    private Future<Boolean> commitRegistration(long leaseId) {
        StoreTransaction put =
                new StoreTransaction()
                        .ifUnchanged(mKey, mStoredRevision)
                        .put(mKey, mRegistration, leaseId);
        return mStore.commit(put)
                .map(
                        result -> {
                            if (result.committed()) {
                                mStoredRevision = result.revision();
                                mConfirmedRevision = result.revision();
                            } else {
                                mStoredRevision = revisionOf(result.entry(mKey));
                            }
                            return result.committed();
                        });
    }

    private static long revisionOf(@Nullable StoreEntry entry) {
        return entry == null ? 0 : entry.modRevision();
    }

    private void onRegistered(long leaseId, long requestedAt) {
        mLeaseId = leaseId;
        mConfirmedAt = requestedAt;
        mStoreLost = false;
        LOG.info(
                "step=register host={} lease={} revision={} outcome=registered",
                mHost,
                leaseId,
                mConfirmedRevision);
        scheduleRenewal();
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        long revision =
                listing.entries().stream()
                        .filter(entry -> entry.key().equals(mKey))
                        .mapToLong(StoreEntry::modRevision)
                        .findFirst()
                        .orElse(0);
        compare(revision, listing.revision());
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        for (StoreChange change : changes.changes()) {
            if (change.key().equals(mKey)) {
                compare(revisionOf(change.entry()), change.revision());
            }
        }
    }

    /**
     * Compares the stored entry with the one that this process wrote last.
     *
     * @param revision revision of the stored entry; 0 when there is none
     * @param reportedAt revision of the store at which the entry was stored so
     */
    private void compare(long revision, long reportedAt) {
        boolean isRegistered = mLeaseId != 0 && mConfirmedRevision != UNCONFIRMED;
        if (mClosed || mWriting || !isRegistered || reportedAt <= mConfirmedRevision) {
            return;
        }
        mStoredRevision = revision;
        if (revision == mConfirmedRevision) {
            return;
        }
        LOG.warn(
                "step=register host={} lease={} revision={} stored_revision={} outcome=replaced",
                mHost,
                mLeaseId,
                mConfirmedRevision,
                revision);
        repair();
    }

    /** Writes the registration again under the current lease until the store confirms it. */
    private void repair() {
        long leaseId = mLeaseId;
        if (mClosed || mWriting || leaseId == 0) {
            return;
        }
        mConfirmedRevision = UNCONFIRMED;
        writeRegistration(leaseId)
                .onSuccess(
                        v ->
                                LOG.info(
                                        "step=register host={} lease={} revision={}"
                                                + " outcome=restored",
                                        mHost,
                                        leaseId,
                                        mConfirmedRevision))
                .onFailure(
                        e -> {
                            onStoreFailure(e);
                            mVertx.setTimer(REGISTRATION_RETRY_MS, t -> retryRepair(leaseId));
                        });
    }

    private void retryRepair(long leaseId) {
        if (leaseId == mLeaseId) {
            repair();
        }
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
