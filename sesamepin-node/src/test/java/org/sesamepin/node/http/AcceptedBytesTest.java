package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamepin.core.time.Ticker;

/** Clients that send large bodies before the event loop has seen their connections. */
@Timeout(value = 1, unit = TimeUnit.MINUTES)
class AcceptedBytesTest {
    private static final int CLIENTS = 100;

    /** One segment of the loopback network, and what the client's own system keeps. */
    private static final int MAX_BYTES_PER_CLIENT = 80 << 10;

    /** Heap whose share lets one connection have a larger receive buffer. */
    private static final long HEAP_BYTES = 1 << 20;

    private static final int SEND_BUFFER_BYTES = 4 << 10;
    private static final int SETTLE_MS = 300;
    private static final int QUIET_MS = 500;
    private static final int POLL_MS = 10;

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<SocketChannel> mClients = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (SocketChannel client : mClients) {
            client.close();
        }
        await(mVertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    }

    private int serve() throws Exception {
        CallerMemory memory = new CallerMemory(Ticker.SYSTEM, 1 << 20, 2 * CLIENTS, HEAP_BYTES);
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHttp2ClearTextEnabled(false)
                        .setReceiveBufferSize(CallerMemory.RECEIVE_BUFFER_BYTES);
        return await(
                        mVertx.createHttpServer(options)
                                .connectionHandler(
                                        c ->
                                                RequestHeadDecoder.install(
                                                        c, options, () -> QUIET_MS, memory))
                                .requestHandler(request -> request.response().end())
                                .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private void connect(int port) throws IOException {
        SocketChannel client = SocketChannel.open();
        client.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        client.connect(new InetSocketAddress("127.0.0.1", port));
        client.configureBlocking(false);
        mClients.add(client);
    }

    /** Sends what the connections take; returns the sum, bytes. */
    private long sendAll() throws Exception {
        ByteBuffer block = ByteBuffer.allocate(1 << 16);
        long sent = 0;
        long lastAt = System.nanoTime();
        while (System.nanoTime() - lastAt < TimeUnit.MILLISECONDS.toNanos(QUIET_MS)) {
            long before = sent;
            for (SocketChannel client : mClients) {
                sent += client.write(block.rewind());
            }
            if (sent > before) {
                lastAt = System.nanoTime();
            } else {
                Thread.sleep(POLL_MS);
            }
        }
        return sent;
    }

    /** Guards against bytes beyond a machine's memory while an event loop is busy. */
    @Test
    void connectionsThatWaitForTheirLoopHoldLittle() throws Exception {
        int port = serve();
        connect(port);
        Thread.sleep(SETTLE_MS);
        CountDownLatch hasSent = new CountDownLatch(1);
        mVertx.runOnContext(v -> awaitOnLoop(hasSent));
        for (int i = 0; i < CLIENTS; i++) {
            connect(port);
        }
        Thread.sleep(SETTLE_MS);
        long sent = sendAll();
        hasSent.countDown();
        assertTrue(sent <= (long) CLIENTS * MAX_BYTES_PER_CLIENT, sent / CLIENTS + " bytes each");
    }

    private static void awaitOnLoop(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
