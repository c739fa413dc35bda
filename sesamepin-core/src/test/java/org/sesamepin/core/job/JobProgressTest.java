package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Guards the results of items through preemption, failures, publishing and a change of owner: a
 * wrong transition loses output, runs an item twice or gives it two results.
 */
class JobProgressTest {
    private static final long LATER = 1_000_000_000L;
    private static final TargetSoftware OLD = new TargetSoftware("s", "old");
    private static final TargetSoftware NEW = new TargetSoftware("s", "new");
    private static final TargetSoftware SAME_NAME = new TargetSoftware("other", "old");

    private static List<JobItem> items(int count) {
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(new JobItem("i" + i, "/p", Map.of(), new byte[] {(byte) i}, 10));
        }
        return items;
    }

    private static JobProgress progress(int count) {
        return new JobProgress(items(count), List.of(), Map.of());
    }

    @Test
    void resumesSuspendedItemAfterItsLastEvent() {
        JobProgress progress = progress(1);
        progress.recordStart(0, 0);
        progress.appendEvent(0, 1, "a");
        progress.appendEvent(0, 2, "b");
        progress.recordSuspension(0, 0);
        assertEquals(0, progress.nextItem(0));
        assertEquals(2, progress.lastEventId(0));
        progress.recordStart(0, 0);
        progress.appendEvent(0, 3, "c");
        progress.recordCompletion(0);
        assertEquals(
                List.of(new JobResult("i0", true, "a\nb\nc")), progress.unpublishedResults(100));
    }

    private static void run(JobProgress progress, int index, TargetSoftware software, int events) {
        long after = progress.lastEventId(index, software);
        progress.recordStart(index, 0);
        progress.recordStreamStart(index, software);
        for (long id = after + 1; id <= after + events; id++) {
            progress.appendEvent(index, id, software.version());
        }
    }

    /** Guards against a result that is joined from the events of two versions. */
    @Test
    void itemStartsAnewAtOtherSoftware() {
        JobProgress progress = progress(1);
        run(progress, 0, OLD, 2);
        progress.recordSuspension(0, 0);
        assertEquals(2, progress.lastEventId(0, OLD));
        assertEquals(0, progress.lastEventId(0, NEW));
        assertEquals(0, progress.lastEventId(0, SAME_NAME));
        progress.recordStart(0, 0);
        progress.recordInterruption(0, 0);
        assertEquals(2, progress.lastEventId(0, OLD), "a run without events loses none");
        run(progress, 0, NEW, 3);
        progress.recordCompletion(0);
        assertEquals("new\nnew\nnew", progress.unpublishedResults(100).get(0).output());
    }

    @Test
    void itemWaitsAWhileForItsSoftwareAsLongAsThatServes() {
        JobProgress progress = progress(2);
        run(progress, 0, OLD, 2);
        progress.recordSuspension(0, 0);
        assertEquals(0, progress.nextItem(0, OLD, software -> true));
        assertEquals(1, progress.nextItem(0, NEW, software -> true));
        progress.recordStart(1, 0);
        assertEquals(-1, progress.nextItem(0, NEW, software -> true));
        assertEquals(0, progress.nextItem(0, NEW, software -> false));
        assertEquals(0, progress.nextItem(LATER, NEW, software -> true));
    }

    @Test
    void deferredItemStaysOpenAndOthersRun() {
        JobProgress progress = progress(2);
        progress.defer(0, LATER);
        assertEquals(1, progress.nextItem(0));
        assertEquals(1, progress.runnableItems(0));
        assertEquals(2, progress.unfinishedItems().size());
        assertEquals(0, progress.nextItem(LATER));
    }

    @Test
    void runsSuspendedItemBeforeOneThatHasNotStarted() {
        JobProgress progress = progress(3);
        progress.recordStart(1, 0);
        progress.appendEvent(1, 1, "a");
        progress.recordSuspension(1, 0);
        assertEquals(1, progress.nextItem(0));
        progress.recordStart(1, 0);
        assertEquals(0, progress.nextItem(0));
    }

    @Test
    void interruptedItemBacksOffBeforeItRunsAgain() {
        JobProgress progress = progress(1);
        progress.recordStart(0, 0);
        progress.recordInterruption(0, 0);
        assertEquals(-1, progress.nextItem(1));
        assertEquals(0, progress.nextItem(LATER));
    }

    /** Guards against an item that ends one target after the other, and one that waits for long. */
    @Test
    void itemWhoseRunsBreakAsTheyBeginBacksOffLongerUpToALimit() {
        JobProgress progress = progress(1);
        long now = 0;
        long most = 0;
        for (int i = 0; i < 20; i++) {
            run(progress, 0, OLD, 0);
            progress.recordBrokenRun(0, now);
            assertTrue(progress.backOffNanos(0, now) >= most);
            most = progress.backOffNanos(0, now);
            now += most;
        }
        assertEquals(BackOff.MAX_DELAY_NANOS, most);
        run(progress, 0, OLD, 3);
        progress.recordBrokenRun(0, now);
        assertEquals(BackOff.FIRST_DELAY_NANOS, progress.backOffNanos(0, now));
    }

    @Test
    void restartsFailedItemAndFailsItPermanentlyAfterMaxFailures() {
        JobProgress progress = progress(1);
        progress.recordStart(0, 0);
        progress.appendEvent(0, 1, "a");
        progress.recordFailure(0, 2, 0);
        assertEquals(0, progress.lastEventId(0));
        assertEquals(Map.of("i0", 1), progress.failures());
        progress.recordStart(0, 0);
        progress.recordFailure(0, 2, LATER);
        assertEquals(List.of(new JobResult("i0", false, "")), progress.unpublishedResults(100));
    }

    @Test
    void keepsFailureCountAfterChangeOfOwner() {
        JobProgress progress = new JobProgress(items(1), List.of(), Map.of("i0", 2));
        progress.recordStart(0, 0);
        progress.recordFailure(0, 3, 0);
        assertTrue(progress.allFinal());
    }

    @Test
    void returnsBodyUntilResultIsPublished() {
        JobProgress progress = progress(2);
        progress.recordStart(1, 0);
        progress.recordCompletion(1);
        assertArrayEquals(new byte[] {1}, progress.unpublishedBody("i1"));
        progress.recordPublished(1);
        assertNull(progress.unpublishedBody("i1"));
        assertNotNull(progress.unpublishedBody("i0"));
        assertNull(progress.unpublishedBody("unknown"));
    }

    @Test
    void resultsPublishedByFormerOwnerAreFinal() {
        JobResult result = new JobResult("i1", true, "x");
        JobProgress progress = new JobProgress(items(2), List.of(result), Map.of());
        assertEquals(10, progress.openTokens());
        assertEquals(0, progress.nextItem(0));
        progress.recordStart(0, 0);
        assertEquals(-1, progress.nextItem(0));
        assertFalse(progress.isComplete());
    }

    /**
     * Random sequences of outcomes: each item ends with one result, whose position never changes.
     */
    @Test
    void eachItemGetsOneResultForAnySequenceOfOutcomes() {
        for (int seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            int count = 1 + random.nextInt(6);
            JobProgress progress = progress(count);
            List<JobResult> seenResults = new ArrayList<>();
            long now = 0;
            while (!progress.isComplete()) {
                now += LATER;
                int index = progress.nextItem(now);
                if (index >= 0) {
                    progress.recordStart(index, 0);
                    endRun(progress, index, random, now);
                }
                int unpublished = progress.unpublishedResults(random.nextInt(4)).size();
                progress.recordPublished(Math.min(unpublished, random.nextInt(3)));
                List<JobResult> published = progress.publishedResults();
                assertEquals(seenResults, published.subList(0, seenResults.size()), "seed " + seed);
                seenResults = List.copyOf(published);
            }
            List<String> ids = seenResults.stream().map(JobResult::id).toList();
            assertEquals(count, new HashSet<>(ids).size(), "seed " + seed);
            assertEquals(count, ids.size(), "seed " + seed);
        }
    }

    private static void endRun(JobProgress progress, int index, Random random, long now) {
        switch (random.nextInt(6)) {
            case 0 -> progress.recordSuspension(index, now);
            case 1 -> progress.recordInterruption(index, now);
            case 2 -> progress.recordFailure(index, 2, now);
            case 3 -> progress.failPermanently(index);
            default -> progress.recordCompletion(index);
        }
    }
}
