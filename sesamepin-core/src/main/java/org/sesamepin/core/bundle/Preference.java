package org.sesamepin.core.bundle;

/** Whether batch throughput or online latency matters more when both compete for slots. */
public enum Preference {
    /** Keeps few slots free for online bursts, so that batch work uses nearly all of a target. */
    THROUGHPUT(0.05),
    /** Keeps more slots free, so that an online burst rarely has to wait for a preemption. */
    LATENCY(0.20);

    private final double mMinimumHeadroom;

    Preference(double minimumHeadroom) {
        mMinimumHeadroom = minimumHeadroom;
    }

    /**
     * Returns how many of {@code slots} batch work leaves free.
     *
     * @param slots number of slots of the target
     * @param onlinePeak recent peak of slots used by online requests, beyond those in use now
     */
    public int headroom(int slots, int onlinePeak) {
        int minimum = (int) Math.floor(slots * mMinimumHeadroom);
        int wanted = this == LATENCY ? Math.max(minimum, onlinePeak) : minimum;
        return Math.min(slots - 1, wanted);
    }
}
