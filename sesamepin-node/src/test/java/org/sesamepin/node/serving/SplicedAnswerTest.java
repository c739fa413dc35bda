package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks what a caller receives, byte by byte, when bytes of another answer, or of none, arrive on
 * a kept connection. The status, the signature and the body of an answer must come from one answer
 * that the target wrote for that request.
 */
class SplicedAnswerTest {
    private static final int RANDOM_SEEDS = Integer.getInteger("spliced.seeds", 60);
    private static final int FIRST_SEED = Integer.getInteger("spliced.firstSeed", 1);
    private static final int REQUESTS_PER_SEED = 6;

    /** Bytes that belong to no answer. */
    static final List<String> SURPLUS =
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

    private final AnswerPath mPath = new AnswerPath();

    @BeforeEach
    void listen() throws Exception {
        mPath.listen();
    }

    @AfterEach
    void close() {
        mPath.close();
    }

    /**
     * Answers a first request with {@code former}, and a second one on the same connection with
     * {@code next}; sends {@code surplus} in between.
     */
    private void splice(WrittenAnswer former, String surplus, WrittenAnswer next, Moment moment)
            throws Exception {
        mPath.recordWritten(former);
        mPath.recordWritten(next);
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
        try (SocketTarget target = mPath.startTarget(script);
                SocketCaller caller = mPath.connect()) {
            caller.call("POST", former.id(), AnswerPath.BODY_BYTES);
            isFormerSent.acquire();
            AnswerPath.pause(3);
            boolean isLarge = moment == Moment.WHILE_THE_NEXT_REQUEST_IS_WRITTEN;
            int size = isLarge ? AnswerPath.LARGE_BODY_BYTES : AnswerPath.BODY_BYTES;
            mPath.judge(next.id(), caller.call("POST", next.id(), size), List.of(surplus));
            mPath.count("connections " + target.connections());
        }
    }

    private static void sendFormer(
            SocketTarget.Link link, WrittenAnswer former, String surplus, Moment moment)
            throws IOException {
        String text = former.text(true);
        switch (moment) {
            case WITH_THE_FORMER_ANSWER -> link.write(text + surplus);
            case AFTER_THE_FORMER_ANSWER -> {
                link.write(text);
                AnswerPath.pause(1);
                link.write(surplus);
            }
            default -> link.write(text);
        }
    }

    private static void sendNext(
            SocketTarget.Link link, String surplus, WrittenAnswer next, Moment moment)
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
                AnswerPath.pause(2);
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

    /** Guards against the status of a late second answer with the signature of the next one. */
    @ParameterizedTest
    @EnumSource
    void cutSecondAnswerIsNeverPartOfTheNextAnswer(Moment moment) throws Exception {
        for (int status : new int[] {200, 500}) {
            for (boolean withId : new boolean[] {true, false}) {
                String shape = WrittenAnswer.of(mPath.nextId(), status, "a").text(withId);
                for (int cut = 1; cut <= shape.length(); cut++) {
                    WrittenAnswer former = WrittenAnswer.of(mPath.nextId(), status, "a");
                    WrittenAnswer next = WrittenAnswer.of(mPath.nextId(), 700 - status, "b");
                    splice(former, former.text(withId).substring(0, cut), next, moment);
                }
            }
        }
        mPath.assertNoneWrong();
        assertNextIsAnswered(moment);
    }

    /** Guards against bytes behind an answer that change the next one. */
    @ParameterizedTest
    @EnumSource
    void surplusBytesAreNeverPartOfTheNextAnswer(Moment moment) throws Exception {
        for (String surplus : SURPLUS) {
            WrittenAnswer former = WrittenAnswer.of(mPath.nextId(), 200, "a");
            WrittenAnswer next = WrittenAnswer.of(mPath.nextId(), 500, "b");
            splice(former, surplus, next, moment);
        }
        mPath.assertNoneWrong();
        assertNextIsAnswered(moment);
    }

    /** Bytes that were there before a request cost it a new connection, not its answer. */
    private void assertNextIsAnswered(Moment moment) {
        if (moment == Moment.WITH_THE_FORMER_ANSWER) {
            assertEquals(Set.of("connections 2", "whole"), mPath.outcomes().keySet());
        }
    }

    /** Guards against orders of bytes that the cases above do not name. */
    @ParameterizedTest
    @MethodSource("seeds")
    void randomBytesNeverGiveAMixedAnswer(int seed) throws Exception {
        RandomAnswers script = new RandomAnswers(seed, mPath::recordWritten);
        Random random = new Random(seed);
        try (SocketTarget target = mPath.startTarget(script);
                SocketCaller caller = mPath.connect()) {
            for (int i = 0; i < REQUESTS_PER_SEED; i++) {
                String id = "s" + seed + "-" + i;
                boolean isLarge = random.nextInt(5) == 0;
                int size = isLarge ? AnswerPath.LARGE_BODY_BYTES : AnswerPath.BODY_BYTES;
                mPath.judge(id, caller.call("POST", id, size), script.log());
                AnswerPath.pause(random.nextInt(4));
            }
            assertTrue(target.connections() > 0);
        }
        mPath.assertNoneWrong();
    }

    private static IntStream seeds() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + RANDOM_SEEDS);
    }
}
