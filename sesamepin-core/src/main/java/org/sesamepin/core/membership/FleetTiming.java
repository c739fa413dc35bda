package org.sesamepin.core.membership;

import java.util.concurrent.TimeUnit;

/**
 * Validity periods of the leases, delegations and blocks by which hosts share the customers' rates,
 * in nanoseconds of each host's own clock. A margin covers clocks whose rates differ by up to
 * {@link #DRIFT}.
 *
 * @param storeConfirmationNanos how long a host may use its share after the store confirmed the
 *     epoch
 * @param peerConfirmationNanos how long a peer's confirmation of the epoch, or a delegation, is
 *     valid
 * @param blockNanos how long the tokens of a granted block may be spent
 */
public record FleetTiming(
        long storeConfirmationNanos, long peerConfirmationNanos, long blockNanos) {
    /** Largest relative difference between the rates of two hosts' clocks that is tolerated. */
    public static final double DRIFT = 0.02;

    /** Timing for a fleet with a few milliseconds of network delay between failure domains. */
    public static final FleetTiming STANDARD =
            new FleetTiming(
                    TimeUnit.MILLISECONDS.toNanos(2_400),
                    TimeUnit.MILLISECONDS.toNanos(1_000),
                    TimeUnit.MILLISECONDS.toNanos(250));

    /** Returns how long a grantor waits until {@code nanos} have passed on the holder's clock. */
    public static long withMargin(long nanos) {
        return nanos + (long) (nanos * DRIFT) + 1;
    }

    /** Returns after what time a delegation and the blocks granted under it have surely expired. */
    public long delegationExpiryNanos() {
        return withMargin(peerConfirmationNanos + blockNanos);
    }

    /**
     * Returns after what time no host can use its share under an older epoch any more, counted from
     * when a member of the older epoch adopted the newer one.
     */
    public long takeoverNanos() {
        return withMargin(
                Math.max(storeConfirmationNanos, peerConfirmationNanos)
                        + peerConfirmationNanos
                        + blockNanos);
    }
}
