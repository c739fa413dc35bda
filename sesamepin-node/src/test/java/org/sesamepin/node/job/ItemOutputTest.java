package org.sesamepin.node.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.job.JobSummary;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.http.RandomEvents;
import org.sesamepin.node.serving.RawTarget;

/** Compares the texts that targets wrote for the items of a job with those of its results. */
class ItemOutputTest {
    private static final ServingRoute ROUTE = JobHost.batchRoute(0);
    private static final String JOB = "job";
    private static final long DONE_WITHIN_MS = 30_000;
    private static final int SEEDS = 100;

    /** Number of items of which one breaks off; targets that fail get fewer items for a while. */
    private static final int BREAK_OFF_ONE_IN = 4;

    private static final int MAX_CHUNK_BYTES = 30;
    private static final Pattern ID = Pattern.compile("(?im)^id: (\\S+)");
    private static final Pattern AFTER = Pattern.compile("(?im)^after: (\\d+)");

    private final Vertx mVertx = Vertx.vertx();
    private final Context mEventLoop = mVertx.getOrCreateContext();
    private final MemoryStore mStore = new MemoryStore();
    private final List<JobHost> mHosts = new ArrayList<>();

    @AfterEach
    void close() {
        mHosts.forEach(JobHost::close);
        mVertx.close();
    }

    /** Returns the bytes of an item's stream from the event after {@code after} on. */
    private interface Streams {
        Buffer stream(String item, int after);
    }

    private <T> T read(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        mEventLoop.runOnContext(v -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private JobHost startHost(String name) throws Exception {
        JobHost host =
                read(
                        () ->
                                Future.succeededFuture(
                                        new JobHost(
                                                mVertx,
                                                mStore,
                                                name,
                                                1,
                                                JobHost.configOf(ROUTE),
                                                () -> 0)));
        mHosts.add(host);
        return host;
    }

    private static void answer(NetSocket socket, String head, Streams streams, Random cuts) {
        Matcher id = ID.matcher(head);
        Matcher after = AFTER.matcher(head);
        String item = id.find() ? id.group(1) : "";
        Buffer stream = streams.stream(item, after.find() ? Integer.parseInt(after.group(1)) : 0);
        Buffer response = Buffer.buffer(RawTarget.streamHead(item));
        int at = 0;
        while (at < stream.length()) {
            int end = Math.min(stream.length(), at + 1 + cuts.nextInt(MAX_CHUNK_BYTES));
            response.appendString(Integer.toHexString(end - at) + "\r\n");
            response.appendBuffer(stream.getBuffer(at, end)).appendString("\r\n");
            at = end;
        }
        socket.write(response.appendString(RawTarget.lastChunk()));
    }

    /** Runs a job and returns the outputs of its items at the owner, by id. */
    private Map<String, String> run(List<String> items, RawTarget.Script script) throws Exception {
        List<TargetInstance> targets = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            targets.add(new RawTarget(mVertx, "t" + i, script).instance());
        }
        JobHost owner = startHost("a");
        read(
                () -> {
                    owner.setTargets(targets);
                    return Future.succeededFuture();
                });
        List<JobItem> job = new ArrayList<>();
        items.forEach(id -> job.add(new JobItem(id, "/b/" + id, Map.of(), new byte[0], 1)));
        read(() -> owner.handler().accept(JOB, "c", ROUTE, job));
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DONE_WITHIN_MS);
        while (!isComplete(owner) && System.nanoTime() - deadline < 0) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return outputs(owner);
    }

    /** Runs a job with the item {@code i}, whose target sends a stream, and returns its output. */
    private Map<String, String> runItem(Streams streams) throws Exception {
        Random cuts = new Random(1);
        return run(List.of("i"), (socket, head, n) -> answer(socket, head, streams, cuts));
    }

    private boolean isComplete(JobHost host) throws Exception {
        return read(
                () -> {
                    JobSummary summary = host.index().summary(JOB);
                    return Future.succeededFuture(summary != null && summary.isComplete());
                });
    }

    private Map<String, String> outputs(JobHost host) throws Exception {
        List<JobResult> results =
                read(
                        () ->
                                host.handler()
                                        .findSummary(JOB)
                                        .compose(s -> host.reader().readResults(JOB, s, 0, 0))
                                        .map(page -> page.results()));
        Map<String, String> outputs = new HashMap<>();
        for (JobResult result : results) {
            assertTrue(result.completed(), result.id());
            outputs.put(result.id(), result.output());
        }
        return outputs;
    }

    private static String event(int id, String text) {
        StringBuilder event = new StringBuilder("id: " + id + "\n");
        for (String line : text.split("\n", -1)) {
            event.append("data: ").append(line).append('\n');
        }
        return event.append('\n').toString();
    }

    private static Buffer stream(List<String> texts, int after) {
        StringBuilder stream = new StringBuilder();
        for (int id = after + 1; id <= texts.size(); id++) {
            stream.append(event(id, texts.get(id - 1)));
        }
        return Buffer.buffer(stream.toString());
    }

    private static Stream<List<String>> textsOfEvents() {
        return Stream.of(
                List.of("a", "\nDear", "b"),
                List.of("\nDear", "b"),
                List.of("", "a"),
                List.of("a", "", "b"),
                List.of("\n", "\n\n", "\n\n\n"),
                List.of("a", "b\n", "c\n\n"),
                List.of(""),
                List.of("\n"),
                List.of(" a", ": b", "data: c", "[DONE]"));
    }

    /** Guards against line breaks that the result of an item has not (MIXED). */
    @ParameterizedTest
    @MethodSource("textsOfEvents")
    void outputHasTheLineBreaksOfEachEvent(List<String> texts) throws Exception {
        String expected = String.join("\n", texts);
        assertEquals(
                Map.of("i", expected),
                runItem((item, after) -> stream(texts, after)),
                "at the owner");
        assertEquals(Map.of("i", expected), outputs(startHost("b")), "from the store");
    }

    /** Guards against a line break for an event that has no text at all. */
    @Test
    void eventWithoutDataAddsNothing() throws Exception {
        Buffer stream = Buffer.buffer("id: 1\n\nid: 2\ndata: a\n\nid: 3\n\nid: 4\ndata: b\n\n");
        assertEquals(Map.of("i", "a\nb"), runItem((item, after) -> stream));
    }

    /** Guards against a field name without a colon, which is one with an empty value. */
    @Test
    void dataFieldWithoutAColonIsAnEmptyLine() throws Exception {
        Buffer stream = Buffer.buffer("id: 1\ndata\ndata: a\n\n");
        assertEquals(Map.of("i", "\na"), runItem((item, after) -> stream));
    }

    /** Guards against texts that change in any form of the stream, or by a resumption. */
    @Test
    void randomTextsAreWholeAlsoWhenTheirStreamsAreResumed() throws Exception {
        List<String> items = new ArrayList<>();
        Map<String, RandomEvents> events = new HashMap<>();
        Map<String, String> expected = new HashMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            String item = "i" + seed;
            RandomEvents texts = new RandomEvents(new Random(seed));
            items.add(item);
            events.put(item, texts);
            expected.put(item, String.join("\n", texts.texts()));
        }
        Random cuts = new Random(SEEDS);
        Set<String> toBreakOff = new HashSet<>();
        for (int i = 0; i < SEEDS; i += BREAK_OFF_ONE_IN) {
            toBreakOff.add(items.get(i));
        }
        Streams streams = (item, after) -> Objects.requireNonNull(events.get(item)).stream(after);
        Map<String, String> outputs =
                run(
                        items,
                        (socket, head, n) -> {
                            Matcher id = ID.matcher(head);
                            boolean breaksOff = id.find() && toBreakOff.remove(id.group(1));
                            if (breaksOff) {
                                breakOff(socket, id.group(1), streams, cuts);
                            } else {
                                answer(socket, head, streams, cuts);
                            }
                        });
        List<String> wrong = new ArrayList<>();
        for (String item : items) {
            if (!Objects.equals(expected.get(item), outputs.get(item))) {
                wrong.add(item + (outputs.containsKey(item) ? " differs" : " has no result"));
            }
        }
        assertEquals(List.of(), wrong);
        assertEquals(outputs, outputs(startHost("b")), "from the store");
    }

    /** Sends the begin of a stream and closes the connection. */
    private static void breakOff(NetSocket socket, String item, Streams streams, Random cuts) {
        Buffer stream = streams.stream(item, 0);
        Buffer part = stream.getBuffer(0, cuts.nextInt(stream.length()));
        Buffer response = Buffer.buffer(RawTarget.streamHead(item));
        if (part.length() > 0) {
            response.appendString(Integer.toHexString(part.length()) + "\r\n");
            response.appendBuffer(part).appendString("\r\n");
        }
        socket.write(response).onComplete(written -> socket.close());
    }
}
