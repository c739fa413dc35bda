package org.sesamepin.core.stream;

/**
 * How often things happen in a simulated fleet.
 *
 * @param meanBeginIntervalMs mean time between two streams that begin at a host
 * @param maxStreamMs longest time from the begin of a stream to its take-up
 * @param listingIntervalMs time after which a host lists the store and removes old statements; 0
 *     for never
 */
record FleetPace(long meanBeginIntervalMs, int maxStreamMs, long listingIntervalMs) {
    /** Versions change within seconds, and no statement becomes old. */
    static final FleetPace FAST = new FleetPace(20, 2_500, 0);

    /** Versions return after about the time for which statements are kept. */
    static final FleetPace SLOW = new FleetPace(100, 4_000, 1_500);
}
