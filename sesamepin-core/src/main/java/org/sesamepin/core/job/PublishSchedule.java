package org.sesamepin.core.job;

/**
 * Decides when the finished results of a job are published. Each publication is a write to the
 * store, so results are grouped; but they have to be there when the job is due, and a host that
 * fails loses those that it has not published.
 */
public final class PublishSchedule {
    /** Time before a job is due from which on each result is published without delay. */
    private static final long LEAD_TIME_MS = 2_000;

    /** Time after a job was due for which its results still are published without delay. */
    private static final long GRACE_MS = 1_000;

    /** Longest time for which the results of a job are kept back, otherwise. */
    private static final long MAX_DELAY_MS = 4_000;

    private PublishSchedule() {}

    /**
     * Returns whether results of a job are to be published now.
     *
     * @param dueInMs time until the job is due, milliseconds; negative when it is overdue
     * @param sinceLastMs time since the last publication of the job, milliseconds
     */
    public static boolean isDue(long dueInMs, long sinceLastMs) {
        boolean urgent = dueInMs <= LEAD_TIME_MS && dueInMs >= -GRACE_MS;
        return urgent || sinceLastMs >= MAX_DELAY_MS;
    }
}
