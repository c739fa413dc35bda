package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.time.Ticker;

/** Many connections at once to a server whose event loop is busy. */
class AcceptGateTest {
    private static final int MAX_CONNECTIONS = 32;

    /** Connections beyond the limit that are being accepted or closed. */
    private static final int MAX_BEYOND = 20;

    private static final int CLIENTS = 400;
    private static final int POLLS = 100;
    private static final int POLL_MS = 10;
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\n\r\n";
    private static final String OK = "HTTP/1.1 200";

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<Socket> mSockets = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        closeSockets();
        await(mVertx.close());
    }

    private void closeSockets() throws IOException {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mSockets.clear();
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    }

    private int serve() throws Exception {
        CallerMemory memory = new CallerMemory(Ticker.SYSTEM, 1 << 20, MAX_CONNECTIONS);
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        return await(
                        mVertx.createHttpServer(options)
                                .connectionHandler(
                                        c ->
                                                RequestHeadDecoder.install(
                                                        c,
                                                        options,
                                                        () -> SOCKET_TIMEOUT_MS,
                                                        memory))
                                .requestHandler(request -> request.response().end())
                                .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private static String call(int port) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
            byte[] start = socket.getInputStream().readNBytes(OK.length());
            return new String(start, StandardCharsets.ISO_8859_1);
        }
    }

    private static long descriptors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/self/fd"))) {
            return files.count();
        }
    }

    /** Guards against descriptors that connections take before their event loop counts them. */
    @Test
    void connectionsWaitWhileTheLoopIsBusy() throws Exception {
        int port = serve();
        assertEquals(OK, call(port));
        CountDownLatch allConnected = new CountDownLatch(1);
        mVertx.runOnContext(v -> awaitOnLoop(allConnected));
        long before = descriptors();
        for (int i = 0; i < CLIENTS; i++) {
            mSockets.add(new Socket("127.0.0.1", port));
        }
        long accepted = 0;
        for (int i = 0; i < POLLS; i++) {
            accepted = Math.max(accepted, descriptors() - before - CLIENTS);
            Thread.sleep(POLL_MS);
        }
        allConnected.countDown();
        assertTrue(accepted <= MAX_CONNECTIONS + MAX_BEYOND, accepted + " accepted");
        assertEquals(OK, call(port));
        closeSockets();
        assertEquals(OK, call(port));
    }

    private static void awaitOnLoop(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
