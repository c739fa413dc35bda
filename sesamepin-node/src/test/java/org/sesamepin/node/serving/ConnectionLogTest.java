package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.node.http.ClientCodec;
import org.sesamepin.node.target.TargetClient;
import org.slf4j.LoggerFactory;

/** Checks that each line about a target's connection names the request and the target. */
class ConnectionLogTest {
    private static final int MAX_WAIT_MS = 5_000;
    private static final String PARTIAL_HEAD = "HTTP/1.1 200 OK\r\nX";

    private final AnswerPath mPath = new AnswerPath();
    private final List<ILoggingEvent> mEvents = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> mAppender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    mEvents.add(event);
                }
            };

    private static Logger rootLogger() {
        return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    }

    @BeforeEach
    void listen() throws Exception {
        mAppender.start();
        rootLogger().addAppender(mAppender);
        mPath.listen();
    }

    @AfterEach
    void close() {
        rootLogger().detachAppender(mAppender);
        mPath.close();
    }

    /** Guards against a library's line at error level that leads to no request. */
    @ParameterizedTest
    @CsvSource({
        "own answer,FIN,closed",
        "own answer,RESET,closed",
        "other answer,FIN,closed",
        "other answer,RESET,closed",
        "no answer,FIN,ended",
        "no answer,RESET,failed"
    })
    void endOfAConnectionNamesItsRequest(String answer, SocketTarget.End end, String outcome)
            throws Exception {
        String id = mPath.nextId();
        SocketTarget.Script script =
                (link, request, number) -> {
                    link.readBody();
                    String other = answer.equals("own answer") ? id : "other";
                    String text = WrittenAnswer.of(other, 200, "x").text(true);
                    link.write((answer.equals("no answer") ? "" : text) + PARTIAL_HEAD);
                    AnswerPath.pause(20);
                    link.end(end);
                };
        try (SocketTarget target = mPath.startTarget(script);
                SocketCaller caller = mPath.connect()) {
            caller.call("POST", id, AnswerPath.BODY_BYTES);
            String expected =
                    "step=connection target="
                            + target.instance().id()
                            + " request="
                            + id
                            + " outcome="
                            + outcome;
            awaitLine(expected);
        }
        assertNoErrors();
    }

    /** Guards against a line at error level for a request that is given up before it is sent. */
    @Test
    void requestThatIsNotSentWritesNoError() throws Exception {
        Vertx vertx = Vertx.vertx();
        try (SocketTarget target = mPath.startTarget((link, id, number) -> {});
                TargetClient client = new TargetClient(vertx)) {
            InetSocketAddress address = target.instance().address();
            RequestOptions options =
                    new RequestOptions().setHost("127.0.0.1").setPort(address.getPort());
            client.open("t", "r1", options, true)
                    .onSuccess(ClientCodec::discard)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS);
            AnswerPath.pause(50);
        } finally {
            vertx.close();
        }
        assertNoErrors();
    }

    private void assertNoErrors() {
        assertEquals(
                List.of(),
                mEvents.stream().filter(event -> event.getLevel() == Level.ERROR).toList());
    }

    private void awaitLine(String start) throws Exception {
        for (int waitedMs = 0; waitedMs < MAX_WAIT_MS && !hasLine(start); waitedMs += 10) {
            AnswerPath.pause(10);
        }
        assertTrue(hasLine(start), () -> start + " in " + mEvents);
    }

    private boolean hasLine(String start) {
        return mEvents.stream().anyMatch(event -> event.getFormattedMessage().startsWith(start));
    }
}
