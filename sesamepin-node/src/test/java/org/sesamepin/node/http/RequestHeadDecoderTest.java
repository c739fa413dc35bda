package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.time.Ticker;

/**
 * Sends request heads over a socket as a malicious or faulty caller does. A head that a proxy and
 * the server interpret differently lets a caller smuggle a request past the proxy, and a head that
 * never ends would occupy its connection forever.
 */
class RequestHeadDecoderTest {
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final long NO_TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
    private static final String VALID_REQUEST = "GET /good HTTP/1.1\r\nHost: a\r\n\r\n";

    private final Vertx mVertx = Vertx.vertx();
    private final List<String> mHandledPaths = new CopyOnWriteArrayList<>();

    @AfterEach
    void closeVertx() throws Exception {
        mVertx.close().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    }

    private int serve(long headTimeoutMs) throws Exception {
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        CallerMemory memory = new CallerMemory(Ticker.SYSTEM);
        HttpServer server =
                mVertx.createHttpServer(options)
                        .connectionHandler(
                                c ->
                                        RequestHeadDecoder.install(
                                                c, options, () -> headTimeoutMs, memory))
                        .requestHandler(
                                request -> {
                                    mHandledPaths.add(request.path());
                                    request.body().onSuccess(b -> request.response().end("whole"));
                                })
                        .invalidRequestHandler(
                                request -> {
                                    Problem problem = RequestHeadDecoder.toProblem(request);
                                    request.response().putHeader("Connection", "close");
                                    request.response()
                                            .endHandler(v -> request.connection().close());
                                    problem.send(request.response(), "-");
                                });
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(1, TimeUnit.MINUTES)
                .actualPort();
    }

    /**
     * Sends {@code parts} in order and returns all received bytes until the connection is closed.
     */
    private static String exchange(int port, String... parts) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            for (String part : parts) {
                socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static List<String> statuses(String responses) {
        return STATUS.matcher(responses).results().map(result -> result.group(1)).toList();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                        + "GET /smuggled HTTP/1.1\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                        + "content-length: 3\r\n\r\nabc",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
                "GET / HTTP/1.1\r\nHost: a\r\nNo colon here\r\n\r\n"
            })
    void rejectsAmbiguousOrMalformedHead(String head) throws Exception {
        assertEquals(List.of("400"), statuses(exchange(serve(NO_TIMEOUT_MS), head)));
        assertEquals(List.of(), mHandledPaths);
    }

    @Test
    void rejectsIncompleteHeadAfterTheTimeout() throws Exception {
        assertEquals(List.of("408"), statuses(exchange(serve(50), "GET /slow HTTP/1.1\r\nHo")));
        assertEquals(List.of(), mHandledPaths);
    }

    @Test
    void rejectsLineEndsWithoutAHeadAfterTheTimeout() throws Exception {
        assertEquals(List.of("408"), statuses(exchange(serve(50), "\r\n\r\n\r\n")));
        assertEquals(List.of(), mHandledPaths);
    }

    @Test
    void rejectsPipelinedIncompleteHeadAfterTheResponseToTheFirstRequest() throws Exception {
        String responses = exchange(serve(50), VALID_REQUEST + "GET /slow HTTP/1.1\r\n");
        assertEquals(List.of("200", "408"), statuses(responses));
        assertEquals(List.of("/good"), mHandledPaths);
    }

    @Test
    void keepsConnectionOpenThatIsIdleBetweenRequests() throws Exception {
        int port = serve(50);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            for (int i = 0; i < 2; i++) {
                socket.getOutputStream().write(VALID_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
                byte[] response = new byte[512];
                assertTrue(socket.getInputStream().read(response) > 0);
                Thread.sleep(100);
            }
        }
        assertEquals(List.of("/good", "/good"), mHandledPaths);
    }

    /** Guards against a rejection that meets the next request on a kept connection. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "\n", "\r\n\r\n"})
    void keepsConnectionOpenAfterAStrayLineEndBehindABody(String lineEnd) throws Exception {
        int port = serve(50);
        String request = "POST /good HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb" + lineEnd;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            for (int i = 0; i < 2; i++) {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                byte[] response = new byte[512];
                int length = socket.getInputStream().read(response);
                String text = new String(response, 0, length, StandardCharsets.UTF_8);
                assertEquals(List.of("200"), statuses(text));
                Thread.sleep(150);
            }
        }
        assertEquals(List.of("/good", "/good"), mHandledPaths);
    }

    @Test
    void servesRequestThatArrivesInParts() throws Exception {
        String responses =
                exchange(
                        serve(NO_TIMEOUT_MS),
                        "POST /parts HT",
                        "TP/1.1\r\nHost: a\r\nConnection: close\r\nContent-",
                        "Length: 3\r\n\r\na",
                        "bc");
        assertEquals(List.of("200"), statuses(responses));
        assertEquals(List.of("/parts"), mHandledPaths);
    }
}
