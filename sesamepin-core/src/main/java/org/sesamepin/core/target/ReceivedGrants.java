package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The grants that this host has handled, by coordinator. A coordinator numbers its grants to a host
 * from 1 without gaps, so a gap shows a grant that was lost or is late. A gap is given up after a
 * while, so that the coordinator no longer counts the lost grant; should the grant arrive
 * afterwards, it must not be used. Not thread-safe.
 */
public final class ReceivedGrants {
    /**
     * The grants of one coordinator for one service.
     *
     * @param service name of the service
     * @param epoch random number that the coordinator's process chose at its start
     */
    public record Source(String service, long epoch) {}

    /**
     * Time for which a grant may be missing. The answer to a request for a placement is discarded
     * after 150 ms, and a message with a grant is given up by its sender after 400 ms.
     */
    static final long MAX_MISSING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after the last grant of a coordinator for which its receipt is part of reports. */
    static final long RECEIPT_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Single numbers of a receipt, which bounds the size of a report. */
    private static final int MAX_BEYOND = 200;

    private static final class Received {
        private final boolean mFromFirst;
        private final TreeMap<Long, Long> mArrivalsBeyond = new TreeMap<>();
        private long mUpTo;
        private long mLastArrival;
        private long mGivenUp;

        Received(boolean fromFirst) {
            mFromFirst = fromFirst;
        }

        boolean record(long number, long now) {
            mLastArrival = now;
            if (number <= mUpTo || mArrivalsBeyond.putIfAbsent(number, now) != null) {
                return false;
            }
            passContiguous();
            return true;
        }

        private void passContiguous() {
            while (!mArrivalsBeyond.isEmpty() && mArrivalsBeyond.firstKey() == mUpTo + 1) {
                mArrivalsBeyond.pollFirstEntry();
                mUpTo++;
            }
        }

        /** Passes the gaps below numbers that arrived too long ago. */
        void giveUpMissing(long now) {
            while (isGapOver(now)) {
                long firstAfterGap = mArrivalsBeyond.firstKey();
                // What a process received before it knew the coordinator was not lost.
                boolean isLost = mFromFirst || mUpTo > 0;
                mGivenUp += isLost ? firstAfterGap - 1 - mUpTo : 0;
                mUpTo = firstAfterGap - 1;
                passContiguous();
            }
        }

        private boolean isGapOver(long now) {
            return mArrivalsBeyond.size() > MAX_BEYOND
                    || mArrivalsBeyond.values().stream()
                            .anyMatch(arrival -> now - arrival >= MAX_MISSING_NANOS);
        }

        long takeGivenUp() {
            long givenUp = mGivenUp;
            mGivenUp = 0;
            return givenUp;
        }
    }

    private final Map<Source, Received> mBySource = new HashMap<>();
    private long mGivenUp;

    /**
     * Records a grant that this host handles now.
     *
     * @return whether the grant may be used; false when its number was given up before
     */
    public boolean record(Source source, long number, long now) {
        dropOld(now);
        Received received = mBySource.computeIfAbsent(source, key -> new Received(number == 1));
        giveUpMissing(received, now);
        return received.record(number, now);
    }

    private void giveUpMissing(Received received, long now) {
        received.giveUpMissing(now);
        mGivenUp += received.takeGivenUp();
    }

    private void dropOld(long now) {
        mBySource.values().removeIf(received -> now - received.mLastArrival > RECEIPT_TTL_NANOS);
    }

    /** Returns the receipts for a report that is made now. */
    public Map<Source, GrantReceipt> receipts(long now) {
        dropOld(now);
        Map<Source, GrantReceipt> receipts = new HashMap<>();
        mBySource.forEach(
                (source, received) -> {
                    giveUpMissing(received, now);
                    receipts.put(
                            source,
                            new GrantReceipt(received.mUpTo, received.mArrivalsBeyond.keySet()));
                });
        return receipts;
    }

    /** Returns the number of grants that were missing for too long. */
    public long givenUp() {
        return mGivenUp;
    }
}
