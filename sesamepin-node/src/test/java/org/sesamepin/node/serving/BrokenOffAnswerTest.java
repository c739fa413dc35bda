package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which answers end whole, and which leave their connection usable. */
class BrokenOffAnswerTest {
    private static final String HEAD_END = "\r\n\r\n";

    private final AnswerPath mPath = new AnswerPath();

    @BeforeEach
    void listen() throws Exception {
        mPath.listen();
    }

    @AfterEach
    void close() {
        mPath.close();
    }

    /** Guards against an answer that broke off, and looks whole to the caller. */
    @ParameterizedTest
    @CsvSource({
        "length,FIN,false",
        "length,RESET,false",
        "length,HALF_CLOSE,false",
        "chunks,FIN,false",
        "chunks,RESET,false",
        "chunks,HALF_CLOSE,false",
        "length,FIN,true",
        "length,RESET,true",
        "length,HALF_CLOSE,true",
        "chunks,FIN,true",
        "chunks,RESET,true",
        "chunks,HALF_CLOSE,true"
    })
    void answerThatBreaksOffNeverLooksWhole(String framing, SocketTarget.End end, boolean kept)
            throws Exception {
        int length = framed(WrittenAnswer.of(mPath.nextId(), 200, "x"), framing).length();
        for (int cut = 0; cut < length; cut++) {
            String former = mPath.nextId();
            String broken = mPath.nextId();
            int brokenAt = cut;
            SocketTarget.Script script =
                    (link, request, number) -> {
                        link.readBody();
                        String text = framed(WrittenAnswer.of(request, 200, "x"), framing);
                        boolean isWhole = !request.equals(broken);
                        link.write(isWhole ? text : text.substring(0, brokenAt));
                        link.end(isWhole ? SocketTarget.End.NONE : end);
                    };
            try (SocketTarget target = mPath.startTarget(script);
                    SocketCaller caller = mPath.connect()) {
                if (kept) {
                    assertEquals(200, call(caller, former).status());
                }
                mPath.judge(broken, call(caller, broken), "cut at " + cut);
                mPath.count("connections " + target.connections());
            }
        }
        mPath.assertNoneWrong();
        assertEquals(Set.of("connections 1", "failed"), mPath.outcomes().keySet());
    }

    private static SocketCaller.Answer call(SocketCaller caller, String id) throws IOException {
        return caller.call("POST", id, AnswerPath.BODY_BYTES);
    }

    private static String framed(WrittenAnswer answer, String framing) {
        return framing.equals("length") ? answer.text(true) : answer.chunkedText(3);
    }

    /** Guards against a connection for each request: regular answers leave theirs usable. */
    @Test
    void regularAnswersShareAConnection() throws Exception {
        List<String> answers =
                List.of(
                        "HTTP/1.1 200 x\r\nId: #\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nab",
                        "HTTP/1.1 500 x\r\nId: #\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n",
                        "HTTP/1.1 200 \r\nId: #\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + "2\r\nab\r\n0\r\nTrailer: 1\r\n\r\n",
                        "HTTP/1.1 204 x\r\nId: #\r\nSigned: 1\r\n\r\n",
                        "HTTP/1.1 304 x\r\nId: #\r\nSigned: 1\r\nContent-Length: 9\r\n\r\n",
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\n"
                                + "HTTP/1.1 200 x\r\nId: #\r\nSigned: 1\r\n"
                                + "Via: HTTP/1.1 proxy\r\n folded\r\nContent-Length: 2\r\n\r\nab",
                        "HTTP/1.1 503 x\r\nId: #\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull");
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.readBody();
                    String text = answers.get((number - 1) / 2 % answers.size());
                    link.write(text.replace("#", id));
                };
        try (SocketTarget target = mPath.startTarget(script);
                SocketCaller caller = mPath.connect()) {
            List<Integer> statuses = new ArrayList<>();
            for (int i = 0; i < 2 * answers.size(); i++) {
                statuses.add(call(caller, mPath.nextId()).status());
                AnswerPath.pause(5);
            }
            assertEquals(
                    List.of(200, 200, 500, 500, 200, 200, 204, 204, 304, 304, 200, 200, 503, 503),
                    statuses);
            assertEquals(1, target.connections());
        }
    }

    /** Guards against a body that is awaited where a HEAD request has none. */
    @Test
    void answersToHeadRequestsShareAConnection() throws Exception {
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.readBody();
                    String head = WrittenAnswer.of(id, 200, "x").text(true);
                    link.write(head.substring(0, head.indexOf(HEAD_END) + HEAD_END.length()));
                };
        try (SocketTarget target = mPath.startTarget(script);
                SocketCaller caller = mPath.connect()) {
            for (int i = 0; i < 4; i++) {
                assertEquals(200, caller.call("HEAD", mPath.nextId(), 0).status());
                AnswerPath.pause(5);
            }
            assertEquals(1, target.connections());
        }
    }
}
