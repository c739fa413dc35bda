package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Online requests that wait for a slot. Requests that can still meet their latency objective go
 * before those that have missed it: in a burst beyond the targets, the order of arrival would make
 * all of them late. A late request gets the slots that are left, as long as its caller waits. Not
 * thread-safe.
 */
final class OnlineQueue {
    /**
     * Fraction of the latency objective that a request may be predicted to wait when it is added.
     */
    private static final double MAX_PREDICTED_WAIT_FRACTION = 0.6;

    /** Fraction of the latency objective after which a waiting request can't meet it any more. */
    private static final double MAX_WAIT_FRACTION = 0.85;

    /**
     * Age at which a request that its host has not repeated is dropped. Hosts repeat a waiting
     * request more often than this, so one that is not repeated has lost its caller.
     */
    private static final long TTL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Time constant of the fraction of slots that late requests get; about as long as a caller
     * waits, since the slots behind a burst are what they get.
     */
    private static final double LATE_FRACTION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * A waiting request.
     *
     * @param request the request
     * @param receivedAt when its host first sent it, a reading of the monotonic clock in
     *     nanoseconds
     * @param repeatedAt when its host last sent it
     * @param predictedLate whether the queue was too long for it to be in time when it was added
     */
    record Entry(
            ServiceCoordinator.Request request,
            long receivedAt,
            long repeatedAt,
            boolean predictedLate) {
        /** Returns until when the request can be placed and meet its latency objective. */
        long inTimeUntil() {
            return receivedAt + (long) (request.latencyObjectiveNanos() * MAX_WAIT_FRACTION);
        }

        /** Returns whether the request is likely to meet its latency objective after a wait. */
        boolean isInTimeAfter(long waitNanos, long now) {
            long waitedNanos = now - receivedAt;
            double allowedNanos = request.latencyObjectiveNanos() * MAX_PREDICTED_WAIT_FRACTION;
            return waitedNanos + waitNanos <= allowedNanos;
        }

        /** Returns the entry of a request that is not going to be in time. */
        Entry late() {
            return new Entry(request, receivedAt, repeatedAt, true);
        }

        boolean isLate(long now) {
            return predictedLate || now - inTimeUntil() > 0;
        }

        /**
         * Returns how much of the wait for this entry is in front of {@code other}: nothing when
         * they need targets of different versions.
         *
         * @param share fraction of all slots that {@code other} may use
         */
        double weightBefore(Entry other, double share) {
            String version = request.version();
            if (version == null) {
                return share;
            }
            String otherVersion = other.request.version();
            return otherVersion == null || version.equals(otherVersion) ? 1 : 0;
        }
    }

    private static final Comparator<Entry> IN_TIME_ORDER =
            Comparator.<Entry>comparingInt(entry -> entry.request().rank())
                    .thenComparingLong(Entry::inTimeUntil);

    private static final Comparator<Entry> LATE_ORDER =
            Comparator.<Entry>comparingInt(entry -> entry.request().rank())
                    .thenComparingLong(entry -> entry.request().deadline());

    private final List<Entry> mEntries = new ArrayList<>();

    /** Fraction of the slots that late requests get, or could have had, lately. */
    private double mLateFraction = 1;

    private long mPlacedAt;

    /** Returns the entry of a request, which keeps its age when it was waiting; removes that. */
    Entry takeForRepeat(ServiceCoordinator.Request request, long now) {
        for (Entry entry : mEntries) {
            if (entry.request().requestId().equals(request.requestId())) {
                mEntries.remove(entry);
                return new Entry(request, entry.receivedAt(), now, entry.predictedLate());
            }
        }
        return new Entry(request, now, now, false);
    }

    void add(Entry entry) {
        mEntries.add(entry);
    }

    void remove(Entry entry) {
        mEntries.remove(entry);
    }

    /** Removes a request, for example because its caller has left. */
    void withdraw(String requestId) {
        mEntries.removeIf(entry -> entry.request().requestId().equals(requestId));
    }

    /** Removes the requests whose callers have stopped waiting. */
    void dropExpired(long now) {
        mEntries.removeIf(
                entry ->
                        now - entry.request().deadline() >= 0
                                || now - entry.repeatedAt() > TTL_NANOS);
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    int size() {
        return mEntries.size();
    }

    /** Returns all entries in the order in which they get slots. */
    List<Entry> ordered(long now) {
        List<Entry> inTime = new ArrayList<>();
        List<Entry> late = new ArrayList<>();
        mEntries.forEach(entry -> (entry.isLate(now) ? late : inTime).add(entry));
        inTime.sort(IN_TIME_ORDER);
        late.sort(LATE_ORDER);
        inTime.addAll(late);
        return inTime;
    }

    /**
     * Returns how many requests that can be in time get one of its slots before {@code entry}.
     *
     * @param share fraction of all slots that {@code entry} may use
     */
    double countInTimeBefore(Entry entry, double share, long now) {
        return mEntries.stream()
                .filter(other -> !other.isLate(now) && IN_TIME_ORDER.compare(other, entry) <= 0)
                .mapToDouble(other -> other.weightBefore(entry, share))
                .sum();
    }

    /**
     * Returns how many late requests get one of its slots before {@code entry}, if that is late.
     *
     * @param share fraction of all slots that {@code entry} may use
     */
    double countLateBefore(Entry entry, double share, long now) {
        return mEntries.stream()
                .filter(other -> other.isLate(now) && LATE_ORDER.compare(other, entry) <= 0)
                .mapToDouble(other -> other.weightBefore(entry, share))
                .sum();
    }

    /** Returns all waiting requests, in no particular order. */
    List<ServiceCoordinator.Request> requests() {
        List<ServiceCoordinator.Request> requests = new ArrayList<>();
        mEntries.forEach(entry -> requests.add(entry.request()));
        return requests;
    }

    /** Records that a request has got a slot, whether or not it had to wait. */
    void recordPlacement(Entry placed, long now) {
        boolean lateWait = mEntries.stream().anyMatch(entry -> entry.isLate(now));
        double sample = placed.isLate(now) || !lateWait ? 1 : 0;
        long sinceNanos = Math.max(0, now - mPlacedAt);
        double gain = 1 - Math.exp(-sinceNanos / LATE_FRACTION_NANOS);
        mLateFraction += gain * (sample - mLateFraction);
        mPlacedAt = now;
    }

    /** Returns the fraction of the slots that late requests can expect. */
    double lateFraction() {
        return mLateFraction;
    }
}
