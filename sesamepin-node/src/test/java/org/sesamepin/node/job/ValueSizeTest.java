package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.job.JobRequestHandler.Acceptance;
import org.sesamepin.node.serving.ServingKeys;
import org.sesamepin.node.spi.StoreTransaction;

/** Checks that items and results of any size reach the store in values that it takes. */
class ValueSizeTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);
    private static final int MAX_VALUE_BYTES = JobHost.MAX_VALUE_BYTES;
    private static final int MAX_PAGE_BYTES = 1_000_000;
    private static final long PUBLISH_TIMEOUT_MS = 15_000;

    /** Two bytes a character in UTF-8. */
    private static final String GREEK = "Άνεμος βόρειος πέντε μποφόρ ";

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private JobHost mHost;

    @BeforeEach
    void start() throws Exception {
        mStore.setMaxValueBytes(MAX_VALUE_BYTES);
        mHost = read(() -> new JobHost(mVertx, mStore, "a", 1, JobHost.configOf(ROUTE), () -> 0));
        awaitTrue("the host is registered", () -> !mHost.index().hosts().isEmpty());
    }

    @AfterEach
    void close() {
        mHost.close();
        mVertx.close();
    }

    private <T> T runOnEventLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private <T> T read(Supplier<T> value) throws Exception {
        return runOnEventLoop(() -> Future.succeededFuture(value.get()));
    }

    private void awaitTrue(String what, Supplier<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PUBLISH_TIMEOUT_MS);
        while (!read(condition)) {
            assertTrue(System.nanoTime() < end, what);
            Thread.sleep(50);
        }
    }

    private Acceptance accept(List<JobItem> items) throws Exception {
        return runOnEventLoop(() -> mHost.handler().accept("job", "c", ROUTE, items));
    }

    private static List<JobItem> smallItems(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new JobItem("i" + i, "/b/1", Map.of(), new byte[0], 1))
                .toList();
    }

    /** Runs a job whose items end at once with these outputs; returns its results as listed. */
    private List<JobResult> publish(List<String> outputs) throws Exception {
        assertEquals(Acceptance.ACCEPTED, accept(smallItems(outputs.size())));
        read(
                () -> {
                    for (int i = 0; i < outputs.size(); i++) {
                        mHost.complete("job", i, outputs.get(i));
                    }
                    return null;
                });
        awaitTrue("all results are published", () -> summary().isComplete());
        return readPages();
    }

    private JobSummary summary() {
        JobSummary summary = mHost.index().summary("job");
        assertNotNull(summary);
        return summary;
    }

    private List<JobResult> readPages() throws Exception {
        List<JobResult> results = new ArrayList<>();
        while (results.size() < summary().total()) {
            int offset = results.size();
            JobContentReader.Page page =
                    runOnEventLoop(() -> mHost.reader().readResults("job", summary(), offset, 0));
            assertTrue(!page.results().isEmpty(), "each page has a result");
            int bytes = page.results().stream().mapToInt(ValueSizeTest::encodedBytes).sum();
            assertTrue(page.results().size() == 1 || bytes <= MAX_PAGE_BYTES, "page of " + bytes);
            results.addAll(page.results());
        }
        return results;
    }

    private static int encodedBytes(JobResult result) {
        JsonObject json = new JsonObject().put("id", result.id()).put("output", result.output());
        return json.encode().getBytes(StandardCharsets.UTF_8).length;
    }

    private static List<String> outputsOf(List<JobResult> results) {
        return results.stream().map(JobResult::output).toList();
    }

    /** Results beyond ASCII must not add up to a value that the store rejects for ever. */
    @Test
    void resultsBeyondAsciiThatPiledUpArePublished() throws Exception {
        String output = GREEK.repeat(470);
        List<String> outputs = IntStream.range(0, 200).mapToObj(i -> output + i).toList();
        assertEquals(outputs, outputsOf(publish(outputs)));
        assertEquals(0, read(mStore::rejectedWrites));
    }

    /** Characters that JSON escapes must count with their escapes. */
    @Test
    void resultsOfEscapedCharactersArePublished() throws Exception {
        String output = "\u0001".repeat(100_000);
        List<String> outputs = IntStream.range(0, 8).mapToObj(i -> output + i).toList();
        assertEquals(outputs, outputsOf(publish(outputs)));
        assertEquals(0, read(mStore::rejectedWrites));
    }

    /** A single result that is larger than a value must be published and read back whole. */
    @Test
    void resultLargerThanAValueIsPublished() throws Exception {
        List<String> outputs = List.of("small", GREEK.repeat(50_000), "last");
        assertEquals(outputs, outputsOf(publish(outputs)));
        assertEquals(0, read(mStore::rejectedWrites));
    }

    /** A value that the store rejects must not be sent again and again; it is made smaller. */
    @Test
    void resultsArePublishedToAStoreThatTakesLessThanItsSettingsSay() throws Exception {
        mStore.setMaxValueBytes(100_000);
        List<String> outputs = List.of("first", "x".repeat(300_000), "y".repeat(90_000));
        assertEquals(outputs, outputsOf(publish(outputs)));
        assertTrue(read(mStore::rejectedWrites) < 10);
    }

    /** Random texts of all sizes must be read back as they were, in the order of their ends. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void randomResultsAreReadBackUnchanged(long seed) throws Exception {
        Random random = new Random(seed);
        List<String> outputs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int length = 1 << random.nextInt(20);
            int[] alphabet = {random.nextInt(0x80), 0x3b1, 0x20ac, 0x1f600, '"', '\n'};
            StringBuilder output = new StringBuilder();
            for (int n = 0; n < length; n++) {
                output.appendCodePoint(alphabet[random.nextInt(alphabet.length)]);
            }
            outputs.add(output.toString());
        }
        assertEquals(outputs, outputsOf(publish(outputs)));
        assertEquals(0, read(mStore::rejectedWrites));
    }

    /** Items count with headers, escapes and base64; one that alone exceeds a value is split. */
    @Test
    void itemsOfAnySizeAreStoredAndReadBack() throws Exception {
        Random random = new Random(1);
        byte[] largeBody = new byte[1_500_000];
        random.nextBytes(largeBody);
        List<JobItem> items = new ArrayList<>();
        items.add(new JobItem("large", "/b/1", Map.of(), largeBody, 1));
        for (int i = 0; i < 30; i++) {
            Map<String, String> headers = Map.of("Note", GREEK.repeat(1_000) + i);
            items.add(new JobItem("i" + i, "/b/" + i, headers, new byte[i], 1));
        }
        assertEquals(Acceptance.ACCEPTED, accept(items));
        List<JobItem> stored =
                runOnEventLoop(() -> new JobStorage(mStore, MAX_VALUE_BYTES).readItems("job"));
        assertEquals(items.size(), stored.size());
        for (int i = 0; i < items.size(); i++) {
            assertEquals(items.get(i).id(), stored.get(i).id());
            assertEquals(items.get(i).headers(), stored.get(i).headers());
            assertArrayEquals(items.get(i).body(), stored.get(i).body());
        }
    }

    /** A job that can never be stored must be refused at once and for good. */
    @Test
    void jobLargerThanATransactionIsRefused() throws Exception {
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            items.add(new JobItem("i" + i, "/b/1", Map.of(), new byte[500_000], 1));
        }
        assertEquals(Acceptance.TOO_LARGE, accept(items));
        assertEquals(0, read(() -> mStore.countKeys("sesamepin/content/")));
    }

    /** The removal of an old job must leave none of its entries behind, however many there are. */
    @Test
    void removalOfALargeJobLeavesNoEntries() throws Exception {
        StoreTransaction content = new StoreTransaction();
        for (int i = 0; i < 100; i++) {
            content.put(ServingKeys.segment("old", i), "{}");
        }
        content.put(ServingKeys.job("old"), "{}");
        long revision = runOnEventLoop(() -> mStore.commit(content)).revision();
        runOnEventLoop(() -> new JobStorage(mStore, MAX_VALUE_BYTES).remove("old", revision));
        assertEquals(0, read(() -> mStore.countKeys(ServingKeys.contentPrefix("old"))));
        assertEquals(0, read(() -> mStore.countKeys(ServingKeys.job("old"))));
    }
}
