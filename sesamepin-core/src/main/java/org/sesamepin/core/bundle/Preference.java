package org.sesamepin.core.bundle;

/** What the operators weigh more when batch work and online traffic compete for slots. */
public enum Preference {
    /** Keeps few slots free for bursts, so that batch work uses nearly all of a target. */
    THROUGHPUT(0.05),
    /** Keeps more slots free, so that a burst seldom has to wait for a preemption. */
    LATENCY(0.20);

    private final double mMinimumHeadroom;

    Preference(double minimumHeadroom) {
        mMinimumHeadroom = minimumHeadroom;
    }

    /**
     * Returns how many of {@code slots} batch work leaves free when {@code onlinePeak} slots were
     * lately taken by online requests at once beyond those in use now.
     */
    public int headroom(int slots, int onlinePeak) {
        int floor = (int) Math.floor(slots * mMinimumHeadroom);
        int wanted = this == LATENCY ? Math.max(floor, onlinePeak) : floor;
        return Math.min(slots - 1, wanted);
    }
}
