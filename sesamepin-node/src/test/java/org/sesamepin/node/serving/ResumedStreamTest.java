package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.spi.StoreListing;

/**
 * Checks what a caller receives, byte by byte, when a stream breaks off and the next target gives
 * another answer than its continuation: no text of that answer, and no end that looks complete.
 */
class ResumedStreamTest {
    private static final String TEXT = "other-text";
    private static final String HEAD_END = "\r\n\r\n";
    private static final int TARGETS = 3;

    private static final int LARGE_EVENTS = 24;
    private static final int LARGE_EVENT_BYTES = 500_000;
    private static final int SMALL_BUFFER_BYTES = 64 << 10;

    /** Longer than the time after which a silent target is given up, shorter than the timeout. */
    private static final long SILENCE_MS = 1_500;

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private final AtomicInteger mRequests = new AtomicInteger();

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    /** Writes the response to the request with a number, from 1. */
    private interface Answers {
        void write(NetSocket socket, int number);
    }

    private int startServer(int maxAttempts, Answers answers) throws Exception {
        List<TargetInstance> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            RawTarget target =
                    new RawTarget(
                            mVertx,
                            "t" + i,
                            (socket, head, n) ->
                                    answers.write(socket, mRequests.incrementAndGet()));
            targets.add(target.instance());
        }
        ServingRoute route =
                new ServingRoute(
                        "r",
                        "h",
                        "/",
                        RouteKind.RESUMABLE_STREAM,
                        3_000,
                        300,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        maxAttempts,
                        true,
                        300,
                        0,
                        0,
                        0);
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

    private static void handle(CallHandler handler, HttpServerRequest request) {
        handler.handle(
                request,
                new CallHead(
                        "r1",
                        request.method(),
                        "h",
                        "/x",
                        "/x",
                        null,
                        3_000,
                        null,
                        null,
                        request.headers(),
                        PromptParts.NONE));
    }

    /** Sends a request and returns all bytes of the response, to its end or the connection's. */
    private static String call(int port) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            String request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0" + HEAD_END;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            InputStream in = socket.getInputStream();
            int next = in.read();
            while (next >= 0) {
                received.write(next);
                if (received.toString(StandardCharsets.UTF_8).endsWith("\r\n0" + HEAD_END)) {
                    break;
                }
                next = in.read();
            }
            return received.toString(StandardCharsets.UTF_8);
        }
    }

    private static boolean isComplete(String response) {
        return response.endsWith("\r\n0" + HEAD_END);
    }

    private static String eventsOf(String response) {
        StringBuilder events = new StringBuilder();
        for (String line : response.split("\n")) {
            if (line.startsWith("data: ")) {
                events.append(line.substring("data: ".length())).append(' ');
            }
        }
        return events.toString().strip();
    }

    /** Begins a stream with two events and breaks off. */
    private static void beginAndBreakOff(NetSocket socket) {
        socket.write(RawTarget.streamHead("r1") + RawTarget.event(1) + RawTarget.event(2))
                .onSuccess(v -> socket.close());
    }

    private static String otherAnswer(String kind) {
        String signed = "Id: r1|Signed: 1";
        return switch (kind) {
            case "server error" -> RawTarget.response(500, signed, TEXT);
            case "not found" -> RawTarget.response(404, signed, TEXT);
            case "unprocessable" -> RawTarget.response(422, signed, TEXT);
            case "refusal" -> RawTarget.response(503, "Id: r1|Not-Run: 1", TEXT);
            case "misdirected" -> RawTarget.response(421, "Id: r1", TEXT);
            case "whole answer" -> RawTarget.response(200, signed, TEXT);
            case "answer of another request" ->
                    RawTarget.response(200, "Id: r9|Signed: 1|Events: 1", TEXT);
            case "unsigned stream" ->
                    RawTarget.streamHead("r1").replace("Signed: 1\r\n", "")
                            + RawTarget.event(3)
                            + RawTarget.lastChunk();
            case "stream from its start" ->
                    RawTarget.streamHead("r1") + RawTarget.event(1) + RawTarget.lastChunk();
            case "stream with a gap" ->
                    RawTarget.streamHead("r1") + RawTarget.event(4) + RawTarget.lastChunk();
            case "error text as a stream" -> RawTarget.response(200, signed + "|Events: 1", TEXT);
            case "no response" -> TEXT + HEAD_END;
            default -> throw new IllegalArgumentException(kind);
        };
    }

    /** Guards against the text of an error, or a false end, in the middle of a caller's stream. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "server error",
                "not found",
                "unprocessable",
                "refusal",
                "misdirected",
                "whole answer",
                "answer of another request",
                "unsigned stream",
                "stream from its start",
                "stream with a gap",
                "error text as a stream",
                "no response"
            })
    void otherAnswerThanAContinuationNeverReachesTheCaller(String kind) throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number == 1) {
                                beginAndBreakOff(socket);
                            } else {
                                socket.write(otherAnswer(kind));
                            }
                        });
        String response = call(port);
        assertEquals("e1 e2", eventsOf(response), response);
        assertFalse(response.contains(TEXT), response);
        assertEquals(1, response.split("HTTP/1.1", -1).length - 1, response);
        assertFalse(isComplete(response), response);
    }

    /** A stream that a second target continues correctly must reach the caller whole. */
    @Test
    void continuedStreamIsWhole() throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number == 1) {
                                beginAndBreakOff(socket);
                            } else {
                                socket.write(continuation());
                            }
                        });
        String response = call(port);
        assertEquals("e1 e2 e3", eventsOf(response), response);
        assertTrue(isComplete(response), response);
    }

    /** Guards against streams that no caller gets whole because of the form they are written in. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void bytesOfEventsAreForwardedAsTheyCame(String lineEnd) throws Exception {
        String first =
                ": begin\n\nretry: 9\n\nid: 1\nevent: text\ndata:\n\n: ping\n\n"
                        .replace("\n", lineEnd);
        String rest = "x: y\nid: 2\ndata\ndata:  b\n: within\n\n: end\n\n".replace("\n", lineEnd);
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number == 1) {
                                String part = first + "id: 2" + lineEnd + "da";
                                socket.write(RawTarget.streamHead("r1") + chunk(part))
                                        .onSuccess(v -> socket.close());
                            } else {
                                String stream = chunk(rest) + RawTarget.lastChunk();
                                socket.write(RawTarget.streamHead("r1") + stream);
                            }
                        });
        String response = call(port);
        assertTrue(isComplete(response), response);
        assertEquals(first + rest, contentOf(response));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the content of a response in chunks. */
    private static String contentOf(String response) {
        StringBuilder content = new StringBuilder();
        int at = response.indexOf(HEAD_END) + HEAD_END.length();
        int length;
        do {
            int lineEnd = response.indexOf("\r\n", at);
            length = Integer.parseInt(response.substring(at, lineEnd), 16);
            at = lineEnd + 2;
            content.append(response, at, at + length);
            at += length + 2;
        } while (length > 0);
        return content.toString();
    }

    private static String continuation() {
        return RawTarget.streamHead("r1") + RawTarget.event(3) + RawTarget.lastChunk();
    }

    /** Guards against a stream that is broken off while the last target it may use is silent. */
    @Test
    void silenceOfTheLastTargetDoesNotEndTheStream() throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number == 1) {
                                beginAndBreakOff(socket);
                            } else {
                                socket.write(RawTarget.streamHead("r1") + RawTarget.event(3));
                                String rest = RawTarget.event(4) + RawTarget.lastChunk();
                                mVertx.setTimer(SILENCE_MS, t -> socket.write(rest));
                            }
                        });
        String response = call(port);
        assertEquals("e1 e2 e3 e4", eventsOf(response), response);
        assertTrue(isComplete(response), response);
    }

    /** An error of the second target must not end a stream that a third one can continue. */
    @Test
    void streamGoesOnAtAThirdTargetAfterAnErrorOfTheSecond() throws Exception {
        int port =
                startServer(
                        3,
                        (socket, number) -> {
                            switch (number) {
                                case 1 -> beginAndBreakOff(socket);
                                case 2 -> socket.write(otherAnswer("server error"));
                                default -> socket.write(continuation());
                            }
                        });
        String response = call(port);
        assertEquals("e1 e2 e3", eventsOf(response), response);
        assertFalse(response.contains(TEXT), response);
        assertTrue(isComplete(response), response);
    }

    /** Guards against cutting a begun stream when its last target is only slow. */
    @Test
    void silenceOfTheLastTargetDoesNotCutAStream() throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number == 1) {
                                beginAndBreakOff(socket);
                            } else {
                                mVertx.setTimer(SILENCE_MS, t -> socket.write(continuation()));
                            }
                        });
        String response = call(port);
        assertEquals("e1 e2 e3", eventsOf(response), response);
        assertTrue(isComplete(response), response);
    }

    /** Guards against giving up a slow target before another one has taken the stream. */
    @Test
    void silentTargetIsKeptWhileAllOthersRefuse() throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number > 1) {
                                socket.write(otherAnswer("refusal"));
                                return;
                            }
                            socket.write(
                                    RawTarget.streamHead("r1")
                                            + RawTarget.event(1)
                                            + RawTarget.event(2));
                            String rest = RawTarget.event(3) + RawTarget.lastChunk();
                            mVertx.setTimer(SILENCE_MS, t -> socket.write(rest));
                        });
        String response = call(port);
        assertEquals("e1 e2 e3", eventsOf(response), response);
        assertTrue(isComplete(response), response);
    }

    /** Guards against cutting a stream that began at the last target and pauses. */
    @Test
    void pauseOfTheLastTargetDoesNotCutAStream() throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            if (number == 1) {
                                socket.close();
                                return;
                            }
                            socket.write(
                                    RawTarget.streamHead("r1")
                                            + RawTarget.event(1)
                                            + RawTarget.event(2));
                            String rest = RawTarget.event(3) + RawTarget.lastChunk();
                            mVertx.setTimer(SILENCE_MS, t -> socket.write(rest));
                        });
        String response = call(port);
        assertEquals("e1 e2 e3", eventsOf(response), response);
        assertTrue(isComplete(response), response);
    }

    /** Guards against taking the pause of a caller that reads slowly for its target's silence. */
    @Test
    void slowReaderGetsTheStreamOfItsTargetWhole() throws Exception {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= LARGE_EVENTS; i++) {
            String event = "id: " + i + "\ndata: " + "x".repeat(LARGE_EVENT_BYTES) + "\n\n";
            events.append(Integer.toHexString(event.length())).append("\r\n");
            events.append(event).append("\r\n");
        }
        int port =
                startServer(
                        2,
                        (socket, number) ->
                                socket.write(
                                        number == 1
                                                ? RawTarget.streamHead("r1")
                                                        + events
                                                        + RawTarget.lastChunk()
                                                : otherAnswer("refusal")));
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            socket.setSoTimeout(10_000);
            String request = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close" + HEAD_END;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(SILENCE_MS);
            byte[] received = socket.getInputStream().readAllBytes();
            String end = new String(received, StandardCharsets.US_ASCII);
            assertTrue(isComplete(end), "ended after " + received.length + " bytes");
        }
        assertEquals(1, mRequests.get());
    }

    /** A response must not combine the head of one run with the events of another. */
    @Test
    void headIsThatOfTheRunWhoseEventsAreForwarded() throws Exception {
        int port =
                startServer(
                        2,
                        (socket, number) -> {
                            String head =
                                    RawTarget.streamHead("r1")
                                            .replace("Signed: 1", "Signed: 1\r\nMark: m" + number);
                            if (number == 1) {
                                socket.write(head).onSuccess(v -> socket.close());
                            } else {
                                socket.write(head + RawTarget.event(1) + RawTarget.lastChunk());
                            }
                        });
        String response = call(port);
        assertTrue(isComplete(response), response);
        assertTrue(response.contains("Mark: m2"), response);
        assertFalse(response.contains("Mark: m1"), response);
    }
}
