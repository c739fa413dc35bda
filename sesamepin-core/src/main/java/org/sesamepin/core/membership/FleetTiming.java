package org.sesamepin.core.membership;

import java.util.concurrent.TimeUnit;

/**
 * Durations on which the authority of hosts rests, all in nanoseconds of each host's own clock. The
 * margin covers clocks whose rates differ by up to {@link #DRIFT}.
 *
 * @param storeConfirmationNanos how long a confirmation by the store lets a host act
 * @param peerConfirmationNanos how long a peer's consent, or a delegation, may be relied on
 * @param blockNanos how long a granted block of rate tokens may be spent
 */
public record FleetTiming(
        long storeConfirmationNanos, long peerConfirmationNanos, long blockNanos) {
    /** Largest relative difference in rate between two hosts' clocks that is provided for. */
    public static final double DRIFT = 0.02;

    /** Timing for a fleet whose failure domains are a few milliseconds apart. */
    public static final FleetTiming STANDARD =
            new FleetTiming(
                    TimeUnit.MILLISECONDS.toNanos(2_400),
                    TimeUnit.MILLISECONDS.toNanos(1_000),
                    TimeUnit.MILLISECONDS.toNanos(250));

    /** Returns how long the granting side waits for {@code nanos} to end at the using side. */
    public static long withMargin(long nanos) {
        return nanos + (long) (nanos * DRIFT) + 1;
    }

    /** Returns how long a delegation and the blocks granted under it can outlast their grant. */
    public long delegationExpiryNanos() {
        return withMargin(peerConfirmationNanos + blockNanos);
    }

    /**
     * Returns after what time no host can act on an older epoch any more, counted from when a
     * member of the older epoch adopted the newer one.
     */
    public long takeoverNanos() {
        return withMargin(
                Math.max(storeConfirmationNanos, peerConfirmationNanos)
                        + peerConfirmationNanos
                        + blockNanos);
    }
}
