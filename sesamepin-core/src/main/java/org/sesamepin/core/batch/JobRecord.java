package org.sesamepin.core.batch;

/**
 * Record of a job in the platform's store.
 *
 * @param id digest of what makes the job the same job when it is sent again
 * @param customer the customer to whom it belongs
 * @param fileId the input file
 * @param endpoint path of the model call, for example {@code /v1/chat/completions}
 * @param model the model that its items want
 * @param items number of items
 * @param createdAtMs when it was accepted, milliseconds since 1970
 * @param dueAtMs when it is due, milliseconds since 1970
 * @param status its status
 * @param endedAtMs when it ended, milliseconds since 1970; 0 while it has not
 * @param completed items with a result, final once the job has ended
 * @param failed items with an error, final once the job has ended
 */
public record JobRecord(
        String id,
        String customer,
        String fileId,
        String endpoint,
        String model,
        int items,
        long createdAtMs,
        long dueAtMs,
        JobStatus status,
        long endedAtMs,
        int completed,
        int failed) {
    /** Returns the record with another status. */
    public JobRecord withStatus(JobStatus next, long endedAt, int completedItems, int failedItems) {
        return new JobRecord(
                id,
                customer,
                fileId,
                endpoint,
                model,
                items,
                createdAtMs,
                dueAtMs,
                next,
                endedAt,
                completedItems,
                failedItems);
    }
}
