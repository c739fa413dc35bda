package org.sesamepin.core.batch;

/**
 * Record of a job in the platform's store.
 *
 * @param id digest of the fields that identify the job, so that a repeated submission is recognized
 * @param customer customer that submitted it
 * @param fileId id of the input file
 * @param endpoint path of the model call, for example {@code /v1/chat/completions}
 * @param model model that its items request
 * @param items number of items
 * @param createdAtMs time at which it was accepted, milliseconds since the Unix epoch
 * @param dueAtMs time at which it is due, milliseconds since the Unix epoch
 * @param status status of the job
 * @param endedAtMs time at which it ended, milliseconds since the Unix epoch; 0 while it has not
 *     ended
 * @param completed number of items with a result; final once the job has ended
 * @param failed number of items with an error; final once the job has ended
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
    /** Returns a copy with a new status and new counts. */
    public JobRecord withStatus(
            JobStatus newStatus, long endedAt, int completedItems, int failedItems) {
        return new JobRecord(
                id,
                customer,
                fileId,
                endpoint,
                model,
                items,
                createdAtMs,
                dueAtMs,
                newStatus,
                endedAt,
                completedItems,
                failedItems);
    }
}
