package org.sesamepin.core.job;

/**
 * Summary of a job that every host keeps.
 *
 * @param customer customer that submitted it
 * @param route route on which it arrived
 * @param total number of items
 * @param published number of results that the store holds
 * @param segments number of stored values that hold these results
 * @param openTokens tokens of the items without a final result
 * @param acceptedAtMs time at which it was accepted, milliseconds since the Unix epoch
 */
public record JobSummary(
        String customer,
        String route,
        int total,
        int published,
        int segments,
        long openTokens,
        long acceptedAtMs) {
    /** Returns whether all results are published. */
    public boolean isComplete() {
        return published >= total;
    }

    /** Returns a copy with the numbers after more results were published. */
    public JobSummary withProgress(int newPublished, int newSegments, long newOpenTokens) {
        return new JobSummary(
                customer, route, total, newPublished, newSegments, newOpenTokens, acceptedAtMs);
    }
}
