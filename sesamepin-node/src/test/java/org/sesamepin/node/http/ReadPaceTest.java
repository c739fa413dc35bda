package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.time.Ticker;

/** Requests of little and of much work on one event loop. */
class ReadPaceTest {
    private static final int COSTLY_CLIENTS = 40;
    private static final int SMALL_CLIENTS = 10;
    private static final String CHUNK = "1\r\nc\r\n";
    private static final int CHUNKS = 100_000;
    private static final String PIPELINED = "GET /pipelined HTTP/1.1\r\n\r\n";
    private static final int PIPELINED_REQUESTS = 10_000;

    /** Passes of the loop that a request with a connection of its own takes, at most. */
    private static final int MAX_PASSES = 20;

    private static final int MAX_READ_BYTES = 16 << 10;
    private static final long TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);
    private static final int FULL_AFTER_MS = 50;

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final CallerMemory mMemory = new CallerMemory(Ticker.SYSTEM);
    private final List<SocketChannel> mSockets = new ArrayList<>();
    private final AtomicLong mStreamedBytes = new AtomicLong();
    private final AtomicLong mPipelined = new AtomicLong();
    private final List<Long> mStreamedBefore = new CopyOnWriteArrayList<>();
    private final CountDownLatch mSmallHandled = new CountDownLatch(SMALL_CLIENTS);

    @AfterEach
    void close() throws Exception {
        for (SocketChannel socket : mSockets) {
            socket.close();
        }
        await(mVertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    }

    private int serve() throws Exception {
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        return await(
                        mVertx.createHttpServer(options)
                                .connectionHandler(
                                        c ->
                                                RequestHeadDecoder.install(
                                                        c, options, () -> TIMEOUT_MS, mMemory))
                                .requestHandler(this::handle)
                                .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/costly")) {
            BodyReader.stream(mVertx, request, 64 << 20, TIMEOUT_MS, this::countStreamed, () -> 0);
            return;
        }
        if (request.path().equals("/pipelined")) {
            mPipelined.incrementAndGet();
            request.response().end();
            return;
        }
        mStreamedBefore.add(mStreamedBytes.get());
        request.response().end();
        mSmallHandled.countDown();
    }

    private void countStreamed(Buffer part) {
        mStreamedBytes.addAndGet(part.length());
    }

    /** Sends until the text is sent or the connection takes no more for a while. */
    private void send(int port, String text) throws IOException, InterruptedException {
        SocketChannel socket = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
        mSockets.add(socket);
        socket.configureBlocking(false);
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        while (bytes.hasRemaining()) {
            if (socket.write(bytes) == 0) {
                Thread.sleep(FULL_AFTER_MS);
                if (socket.write(bytes) == 0) {
                    return;
                }
            }
        }
    }

    /** Guards against small requests that wait until the loop has decoded all that arrived. */
    @Test
    void smallRequestsDoNotWaitForCostlyOnes() throws Exception {
        int port = serve();
        CountDownLatch allSent = new CountDownLatch(1);
        mVertx.runOnContext(v -> awaitOnLoop(allSent));
        String head = "POST /costly HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < COSTLY_CLIENTS; i++) {
            send(port, head + CHUNK.repeat(CHUNKS));
        }
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            send(port, "GET /small HTTP/1.1\r\n\r\n");
        }
        allSent.countDown();
        assertTrue(mSmallHandled.await(1, TimeUnit.MINUTES));
        long oneReadEach = (long) COSTLY_CLIENTS * MAX_READ_BYTES / CHUNK.length();
        mStreamedBefore.forEach(
                bytes -> assertTrue(bytes <= oneReadEach, bytes + " before a small request"));
    }

    /** Guards against a loop that looks at no connection while requests wait behind each other. */
    @Test
    void smallRequestsDoNotWaitForThoseBehindEachOther() throws Exception {
        int port = serve();
        CountDownLatch allSent = new CountDownLatch(1);
        mVertx.runOnContext(v -> awaitOnLoop(allSent));
        for (int i = 0; i < COSTLY_CLIENTS; i++) {
            send(port, PIPELINED.repeat(PIPELINED_REQUESTS));
        }
        HttpClient client = mVertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
        allSent.countDown();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            long count = await(countPipelinedDuring(client, port));
            assertTrue(count <= COSTLY_CLIENTS * MAX_PASSES, count + " before a small request");
        }
    }

    /** Sends a small request from the loop that serves it; counts what else is served before. */
    private Future<Long> countPipelinedDuring(HttpClient client, int port) {
        Promise<Long> promise = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    long start = mPipelined.get();
                    client.request(HttpMethod.GET, port, "127.0.0.1", "/small")
                            .compose(HttpClientRequest::send)
                            .map(response -> mPipelined.get() - start)
                            .onComplete(promise);
                });
        return promise.future();
    }

    private static void awaitOnLoop(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
