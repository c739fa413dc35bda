package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.target.TargetInstance;

/**
 * Checks which response on a kept connection counts for a request. An earlier refusal that a faulty
 * target writes once more must not end a request that the target runs.
 */
class KeptConnectionTest {
    private static final String REFUSAL_OF_FIRST =
            RawTarget.response(503, "Id: r1|Not-Run: 1", "full");

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private RawTarget startTarget(RawTarget.Script script) throws Exception {
        RawTarget target = new RawTarget(mVertx, "t", script);
        mFixture.state().setTargets(List.of(target.instance()));
        return target;
    }

    private String run(TargetInstance target, String id, boolean newConnection) throws Exception {
        AttemptRecorder recorder = new AttemptRecorder();
        TargetAttempt.Plan plan =
                new TargetAttempt.Plan(
                        AttemptRecorder.headOf(id),
                        Buffer.buffer("{}"),
                        null,
                        5_000,
                        null,
                        false,
                        newConnection,
                        0);
        mVertx.runOnContext(
                v -> new TargetAttempt(mFixture.context(), target, plan, recorder).start());
        String outcome = recorder.end().get(10, TimeUnit.SECONDS);
        // The connection returns to the pool after the listener was called.
        Thread.sleep(50);
        return outcome;
    }

    /** A response that may be an earlier one must leave open whether the request runs. */
    @ParameterizedTest
    @CsvSource({
        "503,Id: r1|Not-Run: 1",
        "503,Not-Run: 1",
        "429,Not-Run: 1",
        "421,Id: r1",
        "421,''",
        "503,Id: r1|Id: r2|Not-Run: 1",
        "500,Id: r1|Signed: 1",
        "200,Id: r1|Signed: 1"
    })
    void earlierResponseDoesNotEndTheNextRequest(int status, String headers) throws Exception {
        RawTarget target =
                startTarget(
                        (socket, head, number) ->
                                socket.write(
                                        number == 1
                                                ? REFUSAL_OF_FIRST
                                                : RawTarget.response(status, headers, "late")));
        assertEquals("refused", run(target.instance(), "r1", false));
        assertEquals("broken", run(target.instance(), "r2", false));
    }

    /** Guards against an answer joined from part of a late answer and the next answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK|Mark: ",
                "HTTP/1.1 200 OK|Mark: m|Other: "
            })
    void partOfALateAnswerIsNotTakenWithTheNextAnswer(String part) throws Exception {
        RawTarget target =
                startTarget(
                        (socket, head, number) -> {
                            String id = head.contains("Id: r1") ? "r1" : "r2";
                            int status = id.equals("r1") ? 200 : 500;
                            String answer =
                                    RawTarget.response(status, "Id: " + id + "|Signed: 1", id);
                            socket.write(answer);
                            mVertx.setTimer(10, t -> socket.write(part.replace("|", "\r\n")));
                        });
        assertEquals("answered 200 r1", run(target.instance(), "r1", false));
        String second = run(target.instance(), "r2", false);
        assertTrue(List.of("answered 500 r2", "broken").contains(second), second);
    }

    /** Guards against taking each refusal without an id for that of another request. */
    @ParameterizedTest
    @CsvSource({"503,Not-Run: 1", "421,''", "503,Id: r1|Not-Run: 1"})
    void refusalOfTheOnlyRequestOnAConnectionCounts(int status, String headers) throws Exception {
        RawTarget target =
                startTarget(
                        (socket, head, number) ->
                                socket.write(RawTarget.response(status, headers, "")));
        assertEquals("refused", run(target.instance(), "r1", false));
        assertEquals("refused", run(target.instance(), "r1", true));
    }

    /** The connection of a foreign response must not carry a further request. */
    @Test
    void connectionOfAForeignResponseIsNotUsedAgain() throws Exception {
        RawTarget target = startTarget(KeptConnectionTest::answerLate);
        assertEquals("refused", run(target.instance(), "r1", false));
        assertEquals("broken", run(target.instance(), "r2", false));
        assertEquals("refused", run(target.instance(), "r3", false));
    }

    /** Refuses the first request on a connection, and answers each further one with the former. */
    private static void answerLate(NetSocket socket, String head, int number) {
        String id = head.contains("Id: r3") ? "r3" : "r1";
        socket.write(RawTarget.response(503, "Id: " + id + "|Not-Run: 1", ""));
    }

    /** The second answer to a request that arrives while the connection is idle must be dropped. */
    @Test
    void secondAnswerOnAnIdleConnectionIsDropped() throws Exception {
        RawTarget target =
                startTarget(
                        (socket, head, number) -> {
                            String id = head.contains("Id: r1") ? "r1" : "r2";
                            String answer = RawTarget.response(200, "Id: " + id + "|Signed: 1", id);
                            socket.write(answer);
                            mVertx.setTimer(20, t -> socket.write(answer));
                        });
        assertEquals("answered 200 r1", run(target.instance(), "r1", false));
        assertEquals("answered 200 r2", run(target.instance(), "r2", false));
    }
}
