package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/** Compares the streams that an engine sends with those that callers of the product's API get. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineStreamTest {
    private static final int NODE = 0;
    private static final String MODEL = "scripted-model";
    private static final String DONE = "data: [DONE]\n\n";
    private static final Pattern LENGTH = Pattern.compile("\ncontent-length: *(\\d+)");
    private static final Pattern ID = Pattern.compile("\nx-request-id: *(\\S+)");
    private static final Pattern LAST_EVENT = Pattern.compile("\nlast-event-id: *(\\S+)");

    private final FleetWorld mWorld = new FleetWorld();
    private final Vertx mVertx = Vertx.vertx();
    private final CopyOnWriteArrayList<String> mResumptions = new CopyOnWriteArrayList<>();
    private volatile String mStream = "";
    private volatile String mContinuation = "";
    private volatile boolean mBreaksOff;
    private volatile String mContentType = "";

    @BeforeAll
    void start() throws Exception {
        mWorld.start();
        StringBuilder targets = new StringBuilder("[model " + MODEL + "]\n");
        for (int i = 0; i < 2; i++) {
            NetServer server =
                    mVertx.createNetServer()
                            .connectHandler(this::serve)
                            .listen(0, "127.0.0.1")
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(10, TimeUnit.SECONDS);
            targets.append("[target scripted-" + i + "]\nmodel = " + MODEL + "\n");
            targets.append("address = 127.0.0.1:" + server.actualPort() + "\nslots = 8\n");
        }
        mWorld.fleet().roll(mWorld.fleet().nextBundleText(targets.toString()));
        mStream = DONE;
        mContentType = "text/event-stream";
        FleetWorld.await("the model", () -> call().contains("[DONE]"));
    }

    @AfterAll
    void stop() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
        mWorld.stop();
    }

    @BeforeEach
    void reset() {
        mResumptions.clear();
        mContinuation = "";
        mBreaksOff = false;
        mContentType = "text/event-stream";
    }

    private void serve(NetSocket socket) {
        Buffer received = Buffer.buffer();
        socket.handler(
                part -> {
                    received.appendBuffer(part);
                    String text = received.toString().toLowerCase(Locale.ROOT);
                    int bodyStart = text.indexOf("\r\n\r\n") + 4;
                    Matcher length = LENGTH.matcher(text);
                    int bodyBytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
                    if (bodyStart >= 4 && received.length() >= bodyStart + bodyBytes) {
                        answer(socket, text.substring(0, bodyStart));
                    }
                });
    }

    /** Answers with a stream whose end is that of its connection. */
    private void answer(NetSocket socket, String head) {
        Matcher id = ID.matcher(head);
        Matcher lastEvent = LAST_EVENT.matcher(head);
        boolean resumes = lastEvent.find();
        if (resumes) {
            mResumptions.add(lastEvent.group(1));
        }
        String answer =
                "HTTP/1.1 200 x\r\n"
                        + (id.find() ? "X-Request-Id: " + id.group(1) + "\r\n" : "")
                        + "Content-Type: "
                        + mContentType
                        + "\r\n";
        if (mBreaksOff && !resumes) {
            // The end of the connection is not the end of a response in chunks.
            Buffer stream = Buffer.buffer(mStream);
            answer += "Transfer-Encoding: chunked\r\n\r\n";
            answer += Integer.toHexString(stream.length()) + "\r\n" + mStream + "\r\n";
        } else {
            answer += "\r\n" + (resumes ? mContinuation : mStream);
        }
        socket.end(Buffer.buffer(answer));
    }

    private String call() throws Exception {
        JsonObject request =
                new JsonObject().put("model", MODEL).put("prompt", "p").put("stream", true);
        return mWorld.client()
                .post(NODE, "/v1/completions", request.encode(), mWorld.fleet().highRateKey())
                .body();
    }

    /** Guards against streams that no caller gets because of the form in which they are written. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void streamIsForwardedAsItCameWithEachKindOfLineEnd(String lineEnd) throws Exception {
        String events = "id: 1\nevent: text\ndata: a\n\n: ping\n\nid: 2\ndata: b\nx: y\n\n";
        mStream = (": begin\n\n" + events + DONE).replace("\n", lineEnd);
        assertEquals(mStream, call());
    }

    /** Guards against a stream that is taken for a whole body because of its media type's case. */
    @Test
    void mediaTypeOfAStreamHasNoCase() throws Exception {
        mContentType = "Text/Event-Stream; charset=utf-8";
        mStream = "id: 1\ndata: a\n\n";
        mBreaksOff = true;
        mContinuation = "id: 2\ndata: b\n\n" + DONE;
        assertEquals(mStream + mContinuation, call());
    }

    /** Guards against half an answer that counts as whole, since its text is that of the end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: {\"text\":\"data: [DONE]\"}\n\n",
                "data: [DONE] is the end\n\n",
                "data: a\ndata: [DONE]\n\n"
            })
    void textOfTheEndMarkerIsNotTheEnd(String event) throws Exception {
        mStream = event;
        String answer = call();
        assertTrue(answer.startsWith(event), answer);
        assertTrue(answer.contains("event: error"), answer);
    }

    /** Guards against an error, or a second end, behind the whole answer. */
    @Test
    void breakBehindTheEndIsNoFailure() throws Exception {
        mStream = "id: 1\ndata: a\n\n" + DONE;
        mContinuation = DONE;
        mBreaksOff = true;
        ListAppender<ILoggingEvent> logged = new ListAppender<>();
        logged.start();
        Logger root = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(logged);
        assertEquals(mStream, call());
        assertEquals(0, mResumptions.size());
        TimeUnit.MILLISECONDS.sleep(200);
        root.detachAppender(logged);
        assertTrue(
                logged.list.stream().noneMatch(event -> event.getLevel() == Level.ERROR),
                logged.list::toString);
    }

    /** Guards against an event that a resumption repeats since it has no id. */
    @Test
    void streamIsNotResumedBehindAnEventWithoutAnId() throws Exception {
        mStream = "id: 1\ndata: a\n\ndata: b\n\n";
        mContinuation = "data: b\n\nid: 2\ndata: c\n\n" + DONE;
        mBreaksOff = true;
        String answer = call();
        assertTrue(answer.startsWith(mStream + "event: error"), answer);
        assertFalse(answer.contains("data: c"), answer);
    }

    /** Guards against a caller that waits for ever for a resumption that cannot be asked for. */
    @Test
    void streamIsNotResumedBehindAnIdThatNoHeaderCarries() throws Exception {
        mStream = "id: a\u000b1\ndata: a\n\n";
        mContinuation = "id: a\u000b2\ndata: b\n\n" + DONE;
        mBreaksOff = true;
        String answer = call();
        assertTrue(answer.startsWith(mStream + "event: error"), answer);
    }

    /** Guards against bytes that a resumption changes. */
    @Test
    void continuationIsForwardedAsItCame() throws Exception {
        mStream = "id: 1\r\ndata: a\r\n\r\n: ping\r\n\r\nid: 2\r\nda";
        mContinuation = "\uFEFF: again\rid: 2\rdata: b\r\r" + DONE;
        mBreaksOff = true;
        String whole = "id: 1\r\ndata: a\r\n\r\n: ping\r\n\r\n: again\rid: 2\rdata: b\r\r" + DONE;
        assertEquals(whole, call());
        assertEquals(1, mResumptions.size());
    }
}
