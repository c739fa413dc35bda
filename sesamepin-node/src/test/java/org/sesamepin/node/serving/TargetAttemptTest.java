package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/**
 * Tests the outcome of an attempt for valid and invalid responses of a target. A caller must never
 * receive the response to another request or a part of an event, and an attempt may count as not
 * executed only when the target states it or nothing was sent.
 */
class TargetAttemptTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\n";
    private static final String EVENTS = OK + "Events: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private final AttemptRecorder mRecorder = new AttemptRecorder();
    private String mResponse = "";
    private boolean mCloseAfterResponse;
    private boolean mResetAfterResponse;
    private @Nullable TargetInstance mTarget;

    @BeforeEach
    void listen() throws Exception {
        NetServer server = mVertx.createNetServer().connectHandler(this::respond);
        int port =
                server.listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS)
                        .actualPort();
        mTarget =
                new TargetInstance(
                        "t",
                        1,
                        "s",
                        "v1",
                        new InetSocketAddress("127.0.0.1", port),
                        "a",
                        1,
                        TargetState.READY,
                        0);
        mFixture.state().setTargets(List.of(mTarget));
    }

    private void respond(NetSocket socket) {
        socket.handler(
                request -> {
                    Future<Void> written = socket.write(mResponse);
                    if (mResetAfterResponse) {
                        written.onSuccess(v -> reset(socket));
                    } else if (mCloseAfterResponse) {
                        socket.close();
                    }
                });
    }

    /** Closes a connection with a reset, after the client has had time to read. */
    private void reset(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        mVertx.setTimer(100, t -> channel.unsafe().closeForcibly());
    }

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private String run(String response, boolean closeAfterResponse) throws Exception {
        mResponse = response;
        mCloseAfterResponse = closeAfterResponse;
        TargetInstance target = Objects.requireNonNull(mTarget);
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        AttemptRecorder.headOf("r1"),
                        Buffer.buffer("{}"),
                        null,
                        5_000,
                        null,
                        false,
                        false,
                        0);
        mVertx.runOnContext(
                v -> new TargetAttempt(mFixture.context(), target, plan, mRecorder).start());
        return mRecorder.end().get(10, TimeUnit.SECONDS);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: x\n\n";
    }

    @ParameterizedTest
    @CsvSource({
        "200,Id: r1|Signed: 1,answered 200 ab",
        "500,Id: r1|Signed: 1,answered 500 ab",
        "200,Id: r2|Signed: 1,broken",
        "200,Signed: 1,broken",
        "200,Id: r1,broken",
        "503,Id: r1|Not-Run: 1,refused",
        "503,Id: r1|Signed: 1,broken",
        "429,Id: r1|Signed: 1,broken",
        "421,Id: r1,refused"
    })
    void responseHeadDeterminesTheOutcome(int status, String headers, String expected)
            throws Exception {
        String head = "HTTP/1.1 " + status + " x\r\n" + headers.replace("|", "\r\n") + "\r\n";
        assertEquals(expected, run(head + "Content-Length: 2\r\n\r\nab", false));
    }

    @Test
    void truncatedBodyBreaksTheAttempt() throws Exception {
        assertEquals("broken", run(OK + "Content-Length: 9\r\n\r\nab", true));
    }

    /** Returns heads of responses, each cut at each of its bytes; the last one is all but whole. */
    private static Stream<String> cutHeads() {
        List<String> heads =
                List.of(
                        OK + "Content-Length: 2\r\n\r\n",
                        OK + "Plain: 1\r\n\r\n",
                        OK + "Events: 1\r\n\r\n",
                        EVENTS);
        return heads.stream()
                .flatMap(
                        head ->
                                IntStream.range(1, head.length())
                                        .mapToObj(length -> head.substring(0, length)));
    }

    @ParameterizedTest
    @MethodSource("cutHeads")
    void responseThatEndsWithinItsHeadBreaksTheAttempt(String part) throws Exception {
        assertEquals("broken", run(part, true));
        assertEquals(List.of("sent"), mRecorder.events());
    }

    @Test
    void bytesThatAreNotHttpBreakTheAttempt() throws Exception {
        assertEquals("broken", run("what is this\r\n\r\n", true));
    }

    @Test
    void completeStreamIsForwardedInOrder() throws Exception {
        String events = chunk(event(1)) + chunk(event(2)) + LAST_CHUNK;
        assertEquals("ended", run(EVENTS + events, false));
        assertEquals(List.of("sent", "stream", "event 1", "event 2"), mRecorder.events());
    }

    @Test
    void missingEventBreaksTheStream() throws Exception {
        assertEquals("broken", run(EVENTS + chunk(event(1)) + chunk(event(3)) + LAST_CHUNK, false));
        assertEquals(List.of("sent", "stream", "event 1"), mRecorder.events());
    }

    @Test
    void repeatedEventBreaksTheStream() throws Exception {
        assertEquals("broken", run(EVENTS + chunk(event(1)) + chunk(event(1)) + LAST_CHUNK, false));
    }

    /** Guards against a keep-alive that is taken for an event out of order. */
    @Test
    void commentsDoNotBreakTheStream() throws Exception {
        String first = chunk(": begin\n\n" + event(1)) + chunk(": ping\n\n");
        String rest = chunk(event(2)) + chunk(": end\n") + LAST_CHUNK;
        assertEquals("ended", run(EVENTS + first + rest, false));
        assertEquals(
                List.of("sent", "stream", "event 1", "comment", "comment", "event 2", "comment"),
                mRecorder.events());
    }

    /** Guards against an event whose place is not known, which a resumption could repeat. */
    @ParameterizedTest
    @ValueSource(strings = {"data: x\n\n", "id\ndata: x\n\n", "id: 2x\ndata: x\n\n", "id: 3\n\n"})
    void eventWithoutTheNextIdBreaksTheStream(String event) throws Exception {
        String events = chunk(event(1)) + chunk(event) + chunk(event(2)) + LAST_CHUNK;
        assertEquals("broken", run(EVENTS + events, false));
        assertEquals(List.of("sent", "stream", "event 1"), mRecorder.events());
    }

    /** Guards against the loss of a stream whose ids have spaces around them. */
    @Test
    void spacesAroundAnIdDoNotCount() throws Exception {
        String events = chunk("id:  1 \ndata: x\n\n") + chunk(event(2)) + LAST_CHUNK;
        assertEquals("ended", run(EVENTS + events, false));
    }

    @Test
    void incompleteEventIsNotForwarded() throws Exception {
        assertEquals("broken", run(EVENTS + chunk(event(1)) + chunk("id: 2\nda"), true));
        assertEquals(List.of("sent", "stream", "event 1"), mRecorder.events());
    }

    @Test
    void streamThatEndsWithinAnEventBreaksTheAttempt() throws Exception {
        assertEquals(
                "broken", run(EVENTS + chunk(event(1)) + chunk("id: 2\n") + LAST_CHUNK, false));
    }

    @ParameterizedTest
    @CsvSource({
        "Events: 1,event,false,ended",
        "Events: 1,event,true,broken",
        "Events: 1,part of an event,false,broken",
        "Events: 1,part of an event,true,broken",
        "Plain: 1,body,false,answered 200 body",
        "Plain: 1,body,true,broken"
    })
    void responseWithoutLengthIsCompleteOnlyWhenItsConnectionClosesCleanly(
            String header, String content, boolean reset, String expected) throws Exception {
        mResetAfterResponse = reset;
        String body =
                switch (content) {
                    case "event" -> event(1);
                    case "part of an event" -> event(1) + "id: 2\nda";
                    default -> content;
                };
        assertEquals(expected, run(OK + header + "\r\n\r\n" + body, true));
    }

    @Test
    void requestIsNotSentToATargetThatLeft() throws Exception {
        mFixture.state().setTargets(List.of());
        assertEquals("refused", run(OK + "Content-Length: 0\r\n\r\n", false));
        assertEquals(List.of(), mRecorder.events());
    }
}
