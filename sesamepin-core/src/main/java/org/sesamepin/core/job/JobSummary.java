package org.sesamepin.core.job;

/**
 * What every host knows of a job.
 *
 * @param customer customer that submitted it
 * @param route route on which it arrived
 * @param total number of items
 * @param published number of results that the store holds
 * @param segments number of values that hold these results
 * @param openTokens tokens of the items that are not final
 * @param acceptedAtMs when it was accepted, milliseconds of the Unix epoch
 */
public record JobSummary(
        String customer,
        String route,
        int total,
        int published,
        int segments,
        long openTokens,
        long acceptedAtMs) {
    /** Tells whether all results are there. */
    public boolean isComplete() {
        return published >= total;
    }

    /** Returns the summary after more results were published. */
    public JobSummary withProgress(int nowPublished, int nowSegments, long nowOpenTokens) {
        return new JobSummary(
                customer, route, total, nowPublished, nowSegments, nowOpenTokens, acceptedAtMs);
    }
}
