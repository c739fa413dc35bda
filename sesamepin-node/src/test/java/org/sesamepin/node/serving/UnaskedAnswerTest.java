package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/** Checks answers at moments at which none is awaited, or not that one. */
class UnaskedAnswerTest {
    private static final Pattern ID = Pattern.compile("\r\nId: (\\S+)", Pattern.CASE_INSENSITIVE);

    private final AnswerPath mPath = new AnswerPath();

    @BeforeEach
    void listen() throws Exception {
        mPath.listen();
    }

    @AfterEach
    void close() {
        mPath.close();
    }

    /** Guards against an answer with two lengths, of which one makes it look whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1|Content-Length: 6|",
                "HTTP/1.0|Content-Length: 6|",
                "HTTP/1.0|Content-Length: 6|Connection: keep-alive|"
            })
    void answerWithTwoLengthsNeverLooksWhole(String form) throws Exception {
        assertNeverLooksWhole(form);
    }

    /** Guards against an answer with a length and chunks, of which one makes it look whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1|Transfer-Encoding: chunked|",
                "HTTP/1.0|Transfer-Encoding: chunked|"
            })
    void answerWithALengthAndChunksNeverLooksWhole(String form) throws Exception {
        assertNeverLooksWhole(form);
    }

    private void assertNeverLooksWhole(String form) throws Exception {
        String version = form.substring(0, form.indexOf('|'));
        String header = form.substring(version.length() + 1).replace("|", "\r\n");
        String body = header.contains("chunked") ? "2\r\nab\r\n0\r\n\r\n" : "abcde";
        SocketTarget.Script script =
                (link, id, number) -> {
                    link.readBody();
                    String head = " 200 x\r\nId: " + id + "\r\nSigned: 1\r\nContent-Length: 5\r\n";
                    link.write(version + head + header + "\r\n" + body);
                    link.end(SocketTarget.End.FIN);
                };
        try (SocketTarget target = mPath.startTarget(script);
                SocketCaller caller = mPath.connect()) {
            String id = mPath.nextId();
            assertEquals(502, caller.call("POST", id, AnswerPath.BODY_BYTES).status());
            assertEquals(1, target.connections());
        }
    }

    private WrittenAnswer answer(String id, int status, String variant) {
        WrittenAnswer answer = WrittenAnswer.of(id, status, variant);
        mPath.recordWritten(answer);
        return answer;
    }

    /** Guards against bytes that were there before the connection was first used. */
    @Test
    void bytesSentAtAcceptAreNeverPartOfAnAnswer() throws Exception {
        for (String surplus : SplicedAnswerTest.SURPLUS) {
            for (int pauseMs : new int[] {0, 3}) {
                try (ServerSocket server =
                        new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
                    Thread thread = new Thread(() -> greet(server, surplus, pauseMs));
                    thread.setDaemon(true);
                    thread.start();
                    mPath.useTarget(
                            new TargetInstance(
                                    "g" + mPath.nextId(),
                                    1,
                                    "s",
                                    "v1",
                                    new InetSocketAddress("127.0.0.1", server.getLocalPort()),
                                    "a",
                                    8,
                                    TargetState.READY,
                                    0));
                    try (SocketCaller caller = mPath.connect()) {
                        String id = mPath.nextId();
                        mPath.judge(
                                id,
                                caller.call("POST", id, AnswerPath.BODY_BYTES),
                                List.of(surplus));
                    }
                }
            }
        }
        mPath.assertNoneWrong();
    }

    private void greet(ServerSocket server, String surplus, int pauseMs) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.setTcpNoDelay(true);
                write(socket, surplus);
                AnswerPath.pause(pauseMs);
                String id = readRequest(socket.getInputStream());
                write(socket, answer(id, 500, "b").text(true));
                AnswerPath.pause(5);
            } catch (IOException e) {
                // The host closed the connection.
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads a request and returns its id. */
    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no request");
            }
            head.append((char) next);
        }
        in.skipNBytes(AnswerPath.BODY_BYTES);
        Matcher id = ID.matcher(head);
        return id.find() ? id.group(1) : "";
    }

    /** Guards against a status below 200 that leaves its request awaited on a pooled connection. */
    @ParameterizedTest
    @ValueSource(ints = {100, 101, 102, 103, 104, 199})
    void informationalStatusNeverLeavesAnAnswerToTheNextRequest(int status) throws Exception {
        for (String late :
                List.of("", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 O", "\n", "WHOLE", "SAME")) {
            String former = mPath.nextId();
            SocketTarget.Script script =
                    (link, id, number) -> {
                        link.readBody();
                        if (id.equals(former)) {
                            link.write("HTTP/1.1 " + status + " x\r\nId: " + id + "\r\n\r\n");
                            AnswerPath.pause(10);
                            String text = late;
                            if (late.equals("WHOLE")) {
                                text = answer(id, 200, "late").text(true);
                            } else if (late.equals("SAME")) {
                                text = answer(id, 200, "late").text(false);
                            }
                            link.write(text);
                        } else {
                            link.write(answer(id, 500, "b").text(true));
                        }
                    };
            try (SocketTarget target = mPath.startTarget(script);
                    SocketCaller caller = mPath.connect();
                    SocketCaller other = mPath.connect()) {
                Thread slow =
                        new Thread(
                                () -> {
                                    try {
                                        mPath.judge(
                                                former,
                                                caller.call("POST", former, AnswerPath.BODY_BYTES),
                                                "former");
                                    } catch (IOException e) {
                                        mPath.count("io");
                                    }
                                });
                slow.start();
                AnswerPath.pause(5);
                String next = mPath.nextId();
                mPath.judge(
                        next,
                        other.call("POST", next, AnswerPath.BODY_BYTES),
                        List.of(status, late));
                slow.join();
                next = mPath.nextId();
                mPath.judge(
                        next,
                        caller.call("POST", next, AnswerPath.BODY_BYTES),
                        List.of(status, late));
            }
        }
        mPath.assertNoneWrong();
    }
}
