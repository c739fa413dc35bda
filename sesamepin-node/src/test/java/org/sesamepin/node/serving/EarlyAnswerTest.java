package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks answers without a length, whose end is that of their connection, when the connection ends
 * before the request was sent whole, or by a reset.
 */
class EarlyAnswerTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final int RUNS = 5;

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private static String answer(String id, boolean streamed) {
        return "HTTP/1.1 200 x\r\nId: "
                + id
                + "\r\nSigned: 1\r\n"
                + (streamed ? "Events: 1\r\n\r\n" + EVENT : "\r\npart");
    }

    private String endOf(SocketTarget target, String id, boolean batch, int bodyBytes)
            throws Exception {
        mFixture.state().setTargets(List.of(target.instance()));
        AttemptRecorder recorder = new AttemptRecorder();
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        AttemptRecorder.headOf(id),
                        Buffer.buffer(new byte[bodyBytes]),
                        null,
                        5_000,
                        null,
                        batch,
                        true,
                        0);
        mVertx.runOnContext(
                v ->
                        new TargetAttempt(mFixture.context(), target.instance(), plan, recorder)
                                .start());
        return recorder.end().get(10, TimeUnit.SECONDS);
    }

    /** Guards against a part of an answer that looks whole since the upload broke off. */
    @ParameterizedTest
    @CsvSource({
        "false,false,RESET,0", "false,false,RESET,50", "false,false,FIN,50",
        "true,false,RESET,0", "true,false,RESET,50", "true,false,FIN,50",
        "false,true,RESET,0", "false,true,RESET,50", "false,true,FIN,50"
    })
    void answerBeforeTheEndOfTheUploadIsNotWhole(
            boolean streamed, boolean batch, SocketTarget.End end, int pauseMs) throws Exception {
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.write(answer(id, streamed));
                    AnswerPath.pause(pauseMs);
                    link.end(end);
                };
        try (SocketTarget target = new SocketTarget("t", script)) {
            for (int i = 0; i < RUNS; i++) {
                assertEquals("broken", endOf(target, "r" + i, batch, 16 << 20));
            }
        }
    }

    /** Guards against a part of an answer that looks whole since its connection was reset. */
    @ParameterizedTest
    @CsvSource({"false,false", "true,false", "false,true"})
    void answerThatEndsWithAResetIsNotWhole(boolean streamed, boolean batch) throws Exception {
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.readBody();
                    link.write(answer(id, streamed));
                    AnswerPath.pause(50);
                    link.end(SocketTarget.End.RESET);
                };
        try (SocketTarget target = new SocketTarget("t", script)) {
            for (int i = 0; i < RUNS; i++) {
                assertEquals("broken", endOf(target, "r" + i, batch, 16));
            }
        }
    }

    /** Guards against the loss of regular answers whose end is that of their connection. */
    @Test
    void answerThatEndsWithItsConnectionIsWhole() throws Exception {
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.readBody();
                    link.write(answer(id, false));
                    link.end(SocketTarget.End.FIN);
                };
        try (SocketTarget target = new SocketTarget("t", script)) {
            for (int i = 0; i < RUNS; i++) {
                assertEquals("answered 200 part", endOf(target, "r" + i, false, 1 << 20));
            }
        }
    }
}
