package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests when results are published: a job of ten items that end within 18 s must not cost a write
 * for each item, and no result that is finished in time may be published late.
 */
class PublishScheduleTest {
    private static final long DUE_MS = 18_000;
    private static final long CHECK_INTERVAL_MS = 250;

    @ParameterizedTest
    @CsvSource({
        "10000, 3999, false",
        "10000, 4000, true",
        "2000, 0, true",
        "-1000, 0, true",
        "-1001, 0, false",
        "-5000, 4000, true"
    })
    void resultsAreGroupedUnlessTheJobIsDueSoon(long dueInMs, long sinceLastMs, boolean due) {
        assertEquals(due, PublishSchedule.isDue(dueInMs, sinceLastMs));
    }

    @Test
    void steadyItemsCostFewWritesAndNoneIsPublishedLate() {
        long lastMs = 0;
        int writes = 0;
        long unpublishedSinceMs = -1;
        for (long nowMs = 0; nowMs <= DUE_MS; nowMs += CHECK_INTERVAL_MS) {
            if (nowMs % 1_750 == 0 && unpublishedSinceMs < 0) {
                unpublishedSinceMs = nowMs;
            }
            if (unpublishedSinceMs < 0 || !PublishSchedule.isDue(DUE_MS - nowMs, nowMs - lastMs)) {
                continue;
            }
            unpublishedSinceMs = -1;
            lastMs = nowMs;
            writes++;
        }
        assertTrue(writes <= 6, "writes: " + writes);
        assertEquals(-1, unpublishedSinceMs, "results are left unpublished when the job is due");
    }
}
