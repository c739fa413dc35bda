package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.spi.StoreListing;

/** Counts what targets get and callers receive while a target is silent within its answers. */
class SilentTargetTest {
    private static final Pattern ID = Pattern.compile("\r\nId: (\\S+)", Pattern.CASE_INSENSITIVE);
    private static final int TARGETS = 3;
    private static final int STREAMS = 40;
    private static final int TIMEOUT_MS = 5_000;
    private static final int CONNECT_PAUSE_MS = 100;

    /** Silence of a sound target. */
    private static final int SOUND_SILENCE_MS = 1_000;

    /** Silence during which another target is asked. */
    private static final int LONG_SILENCE_MS = 1_350;

    /** Longest time for which two targets may work on a request. */
    private static final long MAX_OVERLAP_MS = 400;

    /** Where in an answer the target is silent. */
    private enum Point {
        HEAD,
        EVENT,
        END
    }

    private interface Answers {
        void write(NetSocket socket, String id, int number);
    }

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private volatile long mDeadlineMs = TIMEOUT_MS;
    private final AtomicInteger mRequests = new AtomicInteger();
    private final List<String> mHeads = new CopyOnWriteArrayList<>();
    private final List<Long> mBeginsMs = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Long> mFirstClosedMs = new CompletableFuture<>();

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void answer(NetSocket socket, String head, Answers answers) {
        Matcher id = ID.matcher(head);
        int number = mRequests.incrementAndGet();
        mHeads.add(head);
        mBeginsMs.add(nowMs());
        if (number == 1) {
            socket.closeHandler(v -> mFirstClosedMs.complete(nowMs()));
        }
        answers.write(socket, id.find() ? id.group(1) : "", number);
    }

    private int startServer(RouteKind kind, Answers answers) throws Exception {
        List<TargetInstance> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(
                    new RawTarget(
                                    mVertx,
                                    "t" + i,
                                    (socket, head, n) -> answer(socket, head, answers))
                            .instance());
        }
        List<ServiceShare> services = List.of(new ServiceShare("s", 1));
        ServingRoute route =
                new ServingRoute(
                        "r", "h", "/", kind, TIMEOUT_MS, 300, 1, services, 2, true, 300, 0, 0, 0);
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(
                                1, List.of(route), List.of(), null, ConnectionLimits.DEFAULT));
        mFixture.state().setTargets(targets);
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
        return server.actualPort();
    }

    private void handle(CallHandler handler, HttpServerRequest request) {
        handler.handle(
                request,
                new CallHead(
                        request.path().substring(1),
                        request.method(),
                        "h",
                        "/x",
                        "/x",
                        null,
                        mDeadlineMs,
                        null,
                        null,
                        request.headers(),
                        PromptParts.NONE));
    }

    private static String call(int port, String id) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(2 * TIMEOUT_MS);
            String request =
                    "POST /" + id + " HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static void assertWhole(String response) {
        int at = 0;
        for (int i = 1; i <= 4; i++) {
            int next = response.indexOf("data: e" + i + "\n");
            assertTrue(next > at && next == response.lastIndexOf("data: e" + i + "\n"), response);
            at = next;
        }
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    private static String events(int first) {
        StringBuilder events = new StringBuilder();
        for (int i = first; i <= 4; i++) {
            events.append(RawTarget.event(i));
        }
        return events.toString();
    }

    private void writeWithSilence(NetSocket socket, String id, Point point, int silenceMs) {
        String head = RawTarget.streamHead(id);
        String begin = head + RawTarget.event(1) + RawTarget.event(2);
        String written =
                switch (point) {
                    case HEAD -> "";
                    case EVENT -> begin;
                    case END -> head + events(1);
                };
        String whole = head + events(1) + RawTarget.lastChunk();
        socket.write(written);
        mVertx.setTimer(silenceMs, t -> socket.write(whole.substring(written.length())));
    }

    private List<String> failingTargets() throws Exception {
        CompletableFuture<List<String>> failing = new CompletableFuture<>();
        mVertx.runOnContext(v -> failing.complete(mFixture.context().loads().failingTargets()));
        return failing.get(5, TimeUnit.SECONDS);
    }

    /** Guards against streams that are moved, and targets marked, for a silence of a second. */
    @ParameterizedTest
    @EnumSource(Point.class)
    void silenceOfASecondChangesNothing(Point point) throws Exception {
        int port =
                startServer(
                        RouteKind.RESUMABLE_STREAM,
                        (socket, id, number) ->
                                writeWithSilence(socket, id, point, SOUND_SILENCE_MS));
        assertWhole(call(port, "warm-up"));
        ExecutorService callers = Executors.newFixedThreadPool(STREAMS);
        try {
            List<CompletableFuture<String>> responses = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String id = "r" + i;
                responses.add(
                        CompletableFuture.supplyAsync(() -> callUnchecked(port, id), callers));
            }
            for (CompletableFuture<String> response : responses) {
                assertWhole(response.get(20, TimeUnit.SECONDS));
            }
        } finally {
            callers.shutdownNow();
        }
        assertEquals(1 + STREAMS, mRequests.get());
        assertEquals(List.of(), failingTargets());
    }

    private static String callUnchecked(int port, String id) {
        try {
            return call(port, id);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a stream that stays at a silent target, or is worked on twice for long. */
    @ParameterizedTest
    @EnumSource(Point.class)
    void streamOfASilentTargetIsTakenUpBehindItsLastEvent(Point point) throws Exception {
        int port =
                startServer(
                        RouteKind.RESUMABLE_STREAM,
                        (socket, id, number) -> {
                            if (number == 1) {
                                writeWithSilence(socket, id, point, 2 * TIMEOUT_MS);
                                return;
                            }
                            int first = point == Point.HEAD ? 1 : point == Point.EVENT ? 3 : 5;
                            String rest =
                                    RawTarget.streamHead(id)
                                            + events(first)
                                            + RawTarget.lastChunk();
                            mVertx.setTimer(CONNECT_PAUSE_MS, t -> socket.write(rest));
                        });
        assertWhole(call(port, "r1"));
        assertEquals(2, mRequests.get());
        long overlapMs = mFirstClosedMs.get(5, TimeUnit.SECONDS) - mBeginsMs.get(1);
        assertTrue(overlapMs < MAX_OVERLAP_MS, "both targets worked for " + overlapMs + " ms");
    }

    /** Guards against two targets that work on a stream while neither sends anything. */
    @Test
    void silentTargetIsLeftWhenAnotherHasTakenTheStream() throws Exception {
        int port =
                startServer(
                        RouteKind.RESUMABLE_STREAM,
                        (socket, id, number) -> {
                            int silenceMs = number == 1 ? 2 * TIMEOUT_MS : SOUND_SILENCE_MS;
                            writeWithSilence(socket, id, Point.HEAD, silenceMs);
                        });
        assertWhole(call(port, "r1"));
        assertEquals(2, mRequests.get());
        long overlapMs = mFirstClosedMs.get(5, TimeUnit.SECONDS) - mBeginsMs.get(1);
        assertTrue(overlapMs < MAX_OVERLAP_MS, "both targets worked for " + overlapMs + " ms");
    }

    /** Guards against a stream that is lost, or answered twice, when both of its targets send. */
    @ParameterizedTest
    @EnumSource(Point.class)
    void silentTargetThatSendsFirstKeepsTheStream(Point point) throws Exception {
        int port =
                startServer(
                        RouteKind.RESUMABLE_STREAM,
                        (socket, id, number) -> {
                            int silenceMs = number == 1 ? LONG_SILENCE_MS : SOUND_SILENCE_MS;
                            writeWithSilence(
                                    socket, id, number == 1 ? point : Point.HEAD, silenceMs);
                        });
        assertWhole(call(port, "r1"));
        assertFalse(mFirstClosedMs.isDone(), "the first target's connection was closed");
        assertEquals(2, mRequests.get(), "another target was asked");
        assertEquals(List.of(), failingTargets());
    }

    /** Guards against a stream that ends with its silent target while another one begins. */
    @Test
    void endOfASilentTargetLeavesTheStreamToTheOther() throws Exception {
        int port =
                startServer(
                        RouteKind.RESUMABLE_STREAM,
                        (socket, id, number) -> {
                            if (number == 1) {
                                socket.write(RawTarget.streamHead(id) + RawTarget.event(1));
                                mVertx.setTimer(LONG_SILENCE_MS, t -> socket.close());
                            } else {
                                String rest =
                                        RawTarget.streamHead(id)
                                                + events(2)
                                                + RawTarget.lastChunk();
                                mVertx.setTimer(
                                        LONG_SILENCE_MS - SOUND_SILENCE_MS,
                                        t -> socket.write(rest));
                            }
                        });
        assertWhole(call(port, "r1"));
        assertEquals(2, mRequests.get());
    }

    /** Guards against a second run of a request that may run once, however long its silence. */
    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"STREAM", "AT_MOST_ONCE"})
    void requestThatMayRunOnceStaysWithItsTarget(RouteKind kind) throws Exception {
        int port =
                startServer(
                        kind,
                        (socket, id, number) ->
                                writeWithSilence(socket, id, Point.HEAD, 2 * LONG_SILENCE_MS));
        assertWhole(call(port, "r1"));
        assertEquals(1, mRequests.get());
        assertEquals(List.of(), failingTargets());
    }

    /**
     * Guards against callers that get no answer when their deadline passes beside a silent target.
     */
    @Test
    void deadlineEndsTheCallWhileTwoTargetsAreSilent() throws Exception {
        mDeadlineMs = 1_100;
        int port = startServer(RouteKind.RESUMABLE_STREAM, (socket, id, number) -> {});
        long startedMs = nowMs();
        String response = call(port, "r1");
        assertTrue(response.startsWith("HTTP/1.1 504"), response);
        assertTrue(nowMs() - startedMs < 2 * mDeadlineMs, "ms " + (nowMs() - startedMs));
        assertEquals(2, mRequests.get());
    }
}
