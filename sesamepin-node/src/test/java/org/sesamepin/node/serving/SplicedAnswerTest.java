package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.spi.StoreListing;

/**
 * Checks what a caller receives, byte by byte, when bytes of another answer, or of none, arrive on
 * a kept connection. The status, the signature and the body of an answer must come from one answer
 * that the target wrote for that request.
 */
class SplicedAnswerTest {
    private static final int LARGE_BODY_BYTES = 2 << 20;
    private static final int FIRST_ID = 100_000;
    private static final int BODY_BYTES = 16;
    private static final int RANDOM_SEEDS = Integer.getInteger("spliced.seeds", 60);
    private static final int FIRST_SEED = Integer.getInteger("spliced.firstSeed", 1);
    private static final int REQUESTS_PER_SEED = 6;

    private static final List<String> SURPLUS =
            List.of(
                    "\r\n",
                    "\n",
                    "\r",
                    " ",
                    "\r\n\r\n",
                    "\t\u0000\u0001",
                    "H",
                    "HTTP",
                    "HTTP/1.",
                    "HTTP/1.1",
                    "HTTP/1.1 ",
                    "HTTP/1.1 20",
                    "HTTP/1.1 200",
                    "HTTP/1.1 200 ",
                    "HTTP/1.1 200 OK",
                    "HTTP/1.1 200 OK\r",
                    "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 200 OK\r\nX: ",
                    "HTTP/1.1 200 OK\r\nX: 1",
                    "HTTP/1.1 200 OK\r\nX: 1\r\n ",
                    "HTTP/1.1 200 OK\r\nX: 1\r\n\t",
                    "HTTP/1.1 200 OK\nX: ",
                    "HTTP/1.0 200 OK\r\nX: ",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: ",
                    "HTTP/1.1 200 OK\r\nSigned: 1\r\nMark: m\r\nX:",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.1 204 x\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 103 x\r\n\r\n",
                    "HTTP/1.1 100 ",
                    "HTTP/1.1  200  ",
                    "http/1.1 200 ",
                    "X: 1\r\n",
                    "Id: other\r\n",
                    "0\r\n\r\n",
                    "surplus");

    /** When bytes that do not belong to the second answer are sent. */
    private enum Moment {
        WITH_THE_FORMER_ANSWER,
        AFTER_THE_FORMER_ANSWER,
        JOINED_TO_THE_NEXT_ANSWER,
        BEFORE_THE_NEXT_ANSWER,
        WHILE_THE_NEXT_REQUEST_IS_WRITTEN
    }

    /**
     * An answer that a target writes.
     *
     * @param mark signature; names the answer
     */
    private record Written(String id, int status, String mark, String body) {
        String text(boolean withId) {
            return RawTarget.response(
                    status, (withId ? "Id: " + id + "|" : "") + "Signed: 1|Mark: " + mark, body);
        }

        static Written of(String id, int status, String variant) {
            String name = id + "-" + status + "-" + variant;
            return new Written(id, status, "m-" + name, "body of " + name);
        }
    }

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicInteger mTargets = new AtomicInteger();
    private final Map<String, Integer> mOutcomes = new TreeMap<>();
    private final List<Written> mWritten = new CopyOnWriteArrayList<>();
    private int mPort;

    @BeforeEach
    void listen() throws Exception {
        ServingRoute route =
                new ServingRoute(
                        "r",
                        "h",
                        "/",
                        RouteKind.IDEMPOTENT,
                        5_000,
                        2_000,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        true,
                        0,
                        0,
                        0,
                        0);
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(
                                1, List.of(route), List.of(), null, ConnectionLimits.DEFAULT));
        mFixture.context()
                .promptGuard()
                .storeListener()
                .onListing(new StoreListing(1, List.of()), false);
        CallHandler handler =
                new CallHandler(mFixture.context(), (request, head, body, r, customer) -> {});
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(request -> handle(handler, request))
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);
        mPort = server.actualPort();
    }

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private static void handle(CallHandler handler, HttpServerRequest request) {
        handler.handle(
                request,
                new CallHead(
                        request.getHeader("Id"),
                        request.method(),
                        "h",
                        "/x",
                        "/x",
                        null,
                        1_500,
                        null,
                        request.headers(),
                        PromptParts.NONE));
    }

    private SocketTarget startTarget(SocketTarget.Script script) throws IOException {
        SocketTarget target = new SocketTarget("t" + mTargets.incrementAndGet(), script);
        mFixture.state().setTargets(List.of(target.instance()));
        return target;
    }

    /** Returns why an answer is not one that a target wrote for the request; null if it is. */
    private @Nullable String judge(String id, SocketCaller.Answer answer, boolean hasBody) {
        if (answer.mark().isEmpty() && !answer.isSuccess()) {
            return null;
        }
        boolean isWritten =
                mWritten.stream()
                        .anyMatch(
                                w ->
                                        w.id().equals(id)
                                                && w.status() == answer.status()
                                                && w.mark().equals(answer.mark())
                                                && (!hasBody || w.body().equals(answer.body())));
        return isWritten ? null : id + " got " + answer;
    }

    /** Returns an id of constant length that no other request has. */
    private String nextId() {
        return "r" + (FIRST_ID + mIds.incrementAndGet());
    }

    private void count(String outcome) {
        mOutcomes.merge(outcome, 1, Integer::sum);
    }

    /**
     * Answers a first request with {@code former}, and a second one on the same connection with
     * {@code next}; sends {@code surplus} in between.
     *
     * @return why the second answer is wrong; null if it is not
     */
    private @Nullable String splice(Written former, String surplus, Written next, Moment moment)
            throws Exception {
        mWritten.clear();
        mWritten.addAll(List.of(former, next));
        Semaphore isFormerSent = new Semaphore(0);
        SocketTarget.Script script =
                (link, id, number) -> {
                    if (id.equals(former.id())) {
                        link.readBody();
                        sendFormer(link, former, surplus, moment);
                        isFormerSent.release();
                    } else {
                        sendNext(link, number == 1 ? "" : surplus, next, moment);
                    }
                };
        try (SocketTarget target = startTarget(script);
                SocketCaller caller = new SocketCaller(mPort)) {
            caller.call("POST", former.id(), BODY_BYTES);
            isFormerSent.acquire();
            Thread.sleep(3);
            boolean isLarge = moment == Moment.WHILE_THE_NEXT_REQUEST_IS_WRITTEN;
            SocketCaller.Answer answer =
                    caller.call("POST", next.id(), isLarge ? LARGE_BODY_BYTES : BODY_BYTES);
            String fault = judge(next.id(), answer, true);
            count(fault != null ? "wrong" : answer.mark().isEmpty() ? "failed" : "whole");
            count("connections " + target.connections());
            return fault;
        }
    }

    private static void sendFormer(
            SocketTarget.Link link, Written former, String surplus, Moment moment)
            throws IOException {
        String text = former.text(true);
        switch (moment) {
            case WITH_THE_FORMER_ANSWER -> link.write(text + surplus);
            case AFTER_THE_FORMER_ANSWER -> {
                link.write(text);
                pause(1);
                link.write(surplus);
            }
            default -> link.write(text);
        }
    }

    private static void sendNext(
            SocketTarget.Link link, String surplus, Written next, Moment moment)
            throws IOException {
        String text = next.text(true);
        switch (moment) {
            case JOINED_TO_THE_NEXT_ANSWER -> {
                link.readBody();
                link.write(surplus + text);
            }
            case BEFORE_THE_NEXT_ANSWER -> {
                link.readBody();
                link.write(surplus);
                pause(2);
                link.write(text);
            }
            case WHILE_THE_NEXT_REQUEST_IS_WRITTEN -> {
                link.write(surplus);
                link.readBody();
                link.write(text);
            }
            default -> {
                link.readBody();
                link.write(text);
            }
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void assertNone(List<String> faults) {
        assertEquals(List.of(), faults, () -> faults.size() + " wrong, " + mOutcomes);
    }

    /** Guards against the status of a late second answer with the signature of the next one. */
    @ParameterizedTest
    @EnumSource
    @Tag("known-red")
    void cutSecondAnswerIsNeverPartOfTheNextAnswer(Moment moment) throws Exception {
        List<String> faults = new ArrayList<>();
        for (int status : new int[] {200, 500}) {
            for (boolean withId : new boolean[] {true, false}) {
                int length = Written.of(nextId(), status, "a").text(withId).length();
                for (int cut = 1; cut <= length; cut++) {
                    Written former = Written.of(nextId(), status, "a");
                    Written next = Written.of(nextId(), 700 - status, "b");
                    String late = former.text(withId).substring(0, cut);
                    String fault = splice(former, late, next, moment);
                    if (fault != null) {
                        faults.add("cut at " + cut + ": " + fault);
                    }
                }
            }
        }
        assertNone(faults);
    }

    /** Guards against bytes behind an answer that change the next one. */
    @ParameterizedTest
    @EnumSource
    @Tag("known-red")
    void surplusBytesAreNeverPartOfTheNextAnswer(Moment moment) throws Exception {
        List<String> faults = new ArrayList<>();
        for (String surplus : SURPLUS) {
            Written former = Written.of(nextId(), 200, "a");
            Written next = Written.of(nextId(), 500, "b");
            String fault = splice(former, surplus, next, moment);
            if (fault != null) {
                faults.add(surplus.replace("\r", "\\r").replace("\n", "\\n") + ": " + fault);
            }
        }
        assertNone(faults);
    }

    /** Guards against orders of bytes that the cases above do not name. */
    @ParameterizedTest
    @MethodSource("seeds")
    @Tag("known-red")
    void randomBytesNeverGiveAMixedAnswer(int seed) throws Exception {
        List<String> faults = new ArrayList<>();
        mWritten.clear();
        RandomScript script = new RandomScript(seed, mWritten::add);
        Random random = new Random(seed);
        try (SocketTarget target = startTarget(script);
                SocketCaller caller = new SocketCaller(mPort)) {
            for (int i = 0; i < REQUESTS_PER_SEED; i++) {
                String id = "s" + seed + "-" + i;
                int size = random.nextInt(5) == 0 ? LARGE_BODY_BYTES : BODY_BYTES;
                SocketCaller.Answer answer = caller.call("POST", id, size);
                String fault = judge(id, answer, true);
                if (fault != null) {
                    faults.add(fault + " after " + script.log());
                }
                count(fault != null ? "wrong" : answer.mark().isEmpty() ? "failed" : "whole");
                pause(random.nextInt(4));
            }
        }
        assertNone(faults);
    }

    private static IntStream seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + RANDOM_SEEDS);
    }

    /** Draws for each request what is written, in which pieces, and how the connection ends. */
    private static final class RandomScript implements SocketTarget.Script {
        private static final int[] STATUSES = {200, 200, 200, 201, 404, 421, 500, 500, 503};

        private final int mSeed;
        private final Consumer<Written> mRecord;
        private final List<Written> mFormer = new CopyOnWriteArrayList<>();
        private final List<String> mLog = new CopyOnWriteArrayList<>();

        RandomScript(int seed, Consumer<Written> log) {
            mSeed = seed;
            mRecord = log;
        }

        /** Returns what was written, in order. */
        List<String> log() {
            return mLog;
        }

        @Override
        public void answer(SocketTarget.Link link, String id, int number) throws IOException {
            Random random = new Random(id.hashCode() * 31L + mSeed);
            if (random.nextInt(10) > 0) {
                link.readBody();
            }
            Written answer = Written.of(id, STATUSES[random.nextInt(STATUSES.length)], "x");
            String before = random.nextInt(5) < 2 ? "" : foreignBytes(random);
            if (random.nextInt(10) == 0) {
                before += "HTTP/1.1 103 x\r\n\r\n";
            }
            boolean isUnframed = random.nextInt(8) == 0;
            String text = frame(random, answer, isUnframed);
            if (random.nextInt(6) == 0) {
                int cut = random.nextInt(text.length());
                write(link, random, before + text.substring(0, cut));
                end(link, isUnframed ? 1 : random.nextInt(3));
                return;
            }
            mRecord.accept(answer);
            mFormer.add(answer);
            String behind = isUnframed || random.nextInt(5) < 2 ? "" : foreignBytes(random);
            write(link, random, before + text + behind);
            end(link, isUnframed ? 0 : random.nextInt(8));
        }

        private String foreignBytes(Random random) {
            if (mFormer.isEmpty() || random.nextInt(3) == 0) {
                return SURPLUS.get(random.nextInt(SURPLUS.size()));
            }
            Written former = mFormer.get(random.nextInt(mFormer.size()));
            int status = STATUSES[random.nextInt(STATUSES.length)];
            String late =
                    new Written(former.id(), status, former.mark(), former.body())
                            .text(random.nextBoolean());
            return late.substring(0, 1 + random.nextInt(late.length()));
        }

        private static String frame(Random random, Written answer, boolean isUnframed) {
            String text = answer.text(true);
            String length = "Content-Length: " + answer.body().length();
            if (isUnframed) {
                return text.replace(length, "Connection: close");
            }
            return switch (random.nextInt(8)) {
                case 0 ->
                        text.replace(length, "Transfer-Encoding: chunked")
                                        .replace(answer.body(), chunks(random, answer.body()))
                                + RawTarget.lastChunk();
                case 1 -> text.replace("HTTP/1.1", "HTTP/1.0");
                case 2 -> text.replace(length, length + "\r\nConnection: close");
                case 3 -> text.replace(length, length + "\r\nLast: a\r\n folded");
                default -> text;
            };
        }

        private static String chunks(Random random, String body) {
            int cut = 1 + random.nextInt(body.length() - 1);
            return Integer.toHexString(cut)
                    + "\r\n"
                    + body.substring(0, cut)
                    + "\r\n"
                    + Integer.toHexString(body.length() - cut)
                    + "\r\n"
                    + body.substring(cut)
                    + "\r\n";
        }

        private void write(SocketTarget.Link link, Random random, String text) throws IOException {
            mLog.add(text);
            int start = 0;
            while (start < text.length()) {
                int end =
                        random.nextInt(3) == 0
                                ? text.length()
                                : start + 1 + random.nextInt(text.length() - start);
                link.write(text.substring(start, end));
                start = end;
                pause(random.nextInt(3));
            }
        }

        private static void end(SocketTarget.Link link, int kind) throws IOException {
            switch (kind) {
                case 0 -> link.close();
                case 1 -> link.reset();
                case 2 -> link.halfClose();
                default -> link.readBody();
            }
        }
    }
}
