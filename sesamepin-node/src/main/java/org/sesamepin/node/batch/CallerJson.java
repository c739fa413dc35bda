package org.sesamepin.node.batch;

import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.JobRecord;

/** Encodes files and jobs as the JSON objects that callers receive. */
final class CallerJson {
    /** Prefix of the id of a job's output file; the job id follows. */
    static final String OUTPUT_ID_PREFIX = "output-";

    /**
     * Prefix of the id of a job's error file. Has the same length as {@link #OUTPUT_ID_PREFIX}, as
     * the job id is cut out at that length for both.
     */
    static final String ERRORS_ID_PREFIX = "errors-";

    private static final long MS_PER_SECOND = 1_000;

    private CallerJson() {}

    static JsonObject encodeFile(FileRecord file) {
        return new JsonObject()
                .put("id", file.id())
                .put("object", "file")
                .put("purpose", "batch")
                .put("bytes", file.bytes())
                .put("items", file.items())
                .put("created_at", file.createdAtMs() / MS_PER_SECOND);
    }

    static JsonObject encodeJob(JobRecord job, @Nullable JsonObject progress) {
        int completed = progress == null ? job.completed() : progress.getInteger("completed");
        int failed = progress == null ? job.failed() : progress.getInteger("failed");
        JsonObject counts =
                new JsonObject()
                        .put("total", job.items())
                        .put("completed", completed)
                        .put("failed", failed);
        JsonObject json =
                new JsonObject()
                        .put("id", job.id())
                        .put("object", "batch")
                        .put("endpoint", job.endpoint())
                        .put("input_file_id", job.fileId())
                        .put("status", job.status().label())
                        .put("created_at", job.createdAtMs() / MS_PER_SECOND)
                        .put("expires_at", job.dueAtMs() / MS_PER_SECOND)
                        .put("request_counts", counts);
        if (progress != null) {
            long remainingMs = progress.getLong("remaining_ms");
            json.put("running", progress.getInteger("running"));
            json.put("estimated_remaining_seconds", remainingMs / MS_PER_SECOND);
        }
        if (job.status().isTerminal()) {
            json.put("ended_at", job.endedAtMs() / MS_PER_SECOND);
            json.put("output_file_id", OUTPUT_ID_PREFIX + job.id());
            json.put("error_file_id", ERRORS_ID_PREFIX + job.id());
        }
        return json;
    }
}
