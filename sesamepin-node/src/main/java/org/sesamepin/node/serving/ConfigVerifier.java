package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.generated.ConfigConfirmation;
import org.sesamepin.node.peer.generated.HostReport;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds the time for which a host may act by a configuration without knowing that it is the newest
 * one. A watch can be silent without an error, on all hosts at once; so the configuration is listed
 * about once a second. The hosts share this work: what one of them has confirmed is in its reports
 * to the others. In a large fleet, where reports reach all hosts slowly, the coordinators of the
 * services list for the others: every host exchanges reports with them. Confined to the event loop.
 */
final class ConfigVerifier implements StoreMirror.Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigVerifier.class);
    private static final long CHECK_INTERVAL_MS = 200;

    /** Age of the confirmation from which on one of all hosts lists at each check. */
    private static final long SHARED_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Who lists the configuration when its confirmation has become old. */
    enum Duty {
        /** Every host: first one of them at random, then each that has heard of no confirmation. */
        SHARED(TimeUnit.MILLISECONDS.toNanos(1_000)),
        /** This host for all others, which exchange reports with it several times per second. */
        FOR_OTHERS(SHARED_AGE_NANOS),
        /** Other hosts; this one only when their confirmations do not reach it. */
        BY_OTHERS(TimeUnit.MILLISECONDS.toNanos(1_500));

        private final long mMaxAgeNanos;

        Duty(long maxAgeNanos) {
            mMaxAgeNanos = maxAgeNanos;
        }

        boolean isDue(long ageNanos, int hosts) {
            if (ageNanos >= mMaxAgeNanos) {
                return true;
            }
            return this == SHARED
                    && ageNanos >= SHARED_AGE_NANOS
                    && ThreadLocalRandom.current().nextInt(Math.max(1, hosts)) == 0;
        }
    }

    /** Age of the confirmation from which on the configuration counts as unconfirmed. */
    private static final long UNCONFIRMED_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final ServingState mState;
    private final IntSupplier mHosts;
    private final Supplier<Duty> mDuty;
    private @Nullable StoreMirror mMirror;
    private boolean mKnown;
    private boolean mUnconfirmed;
    private boolean mPending;
    private long mConfirmedAt;
    private long mTimer;

    /**
     * Creates a verifier.
     *
     * @param hosts number of the registered hosts
     * @param duty who lists, read at each check
     */
    ConfigVerifier(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            IntSupplier hosts,
            Supplier<Duty> duty) {
        mVertx = vertx;
        mTicker = ticker;
        mState = state;
        mHosts = hosts;
        mDuty = duty;
    }

    /** Starts to verify what {@code mirror} has read. */
    void start(StoreMirror mirror) {
        mMirror = mirror;
        mTimer = mVertx.setPeriodic(CHECK_INTERVAL_MS, t -> check(mirror));
    }

    private void check(StoreMirror mirror) {
        if (!mKnown) {
            return;
        }
        long age = mTicker.nanoTime() - mConfirmedAt;
        if (age >= UNCONFIRMED_AGE_NANOS && !mUnconfirmed) {
            mUnconfirmed = true;
            LOG.warn(
                    "step=config version={} age_ms={} outcome=unconfirmed",
                    mState.config().version(),
                    ageMs());
        }
        if (!mPending && mDuty.get().isDue(age, mHosts.getAsInt())) {
            verify(mirror);
        }
    }

    private void verify(StoreMirror mirror) {
        mPending = true;
        long sentAt = mTicker.nanoTime();
        mirror.verify().onSuccess(v -> confirm(sentAt)).onComplete(done -> mPending = false);
    }

    private void confirm(long at) {
        if (mKnown && at - mConfirmedAt <= 0) {
            return;
        }
        mConfirmedAt = at;
        mKnown = true;
        if (mUnconfirmed && mTicker.nanoTime() - at < UNCONFIRMED_AGE_NANOS) {
            mUnconfirmed = false;
            LOG.info("step=config version={} outcome=confirmed", mState.config().version());
        }
    }

    @Override
    public void onListing(StoreListing listing, boolean afterOutage) {
        confirm(mTicker.nanoTime());
    }

    @Override
    public void onChanges(StoreChanges changes, boolean afterOutage) {
        confirm(mTicker.nanoTime());
    }

    /**
     * Returns how long ago the configuration in force was known to be the newest, milliseconds; 0
     * before one was read.
     */
    long ageMs() {
        return mKnown ? TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - mConfirmedAt) : 0;
    }

    /** Registers the metrics about the configuration in force. */
    void registerMetrics(ServingMetrics metrics) {
        metrics.gauge(
                "sesamepin_config_version",
                "Configuration in force.",
                () -> mState.config().version());
        metrics.gauge(
                "sesamepin_config_age_seconds",
                "Time since the configuration in force was known to be the newest.",
                () -> ageMs() / 1_000.0);
    }

    /** Adds to a report what this host has confirmed. */
    void addTo(HostReport report) {
        StoreMirror mirror = mMirror;
        if (mirror != null && mKnown) {
            report.setConfigConfirmation(new ConfigConfirmation(mirror.contentRevision(), ageMs()));
        }
    }

    /** Records what a peer has confirmed, if this host knows all that the peer knows. */
    void recordReport(HostReport report) {
        StoreMirror mirror = mMirror;
        if (mirror == null || !report.isSetConfigConfirmation()) {
            return;
        }
        ConfigConfirmation confirmation = report.getConfigConfirmation();
        if (mKnown && confirmation.getRevision() <= mirror.contentRevision()) {
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, confirmation.getAgeMs()));
            confirm(mTicker.nanoTime() - ageNanos);
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
    }
}
