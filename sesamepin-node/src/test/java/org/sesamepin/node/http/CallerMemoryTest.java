package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.time.Ticker;

/** Sends requests over sockets to a server with little memory for them. */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class CallerMemoryTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final int MAX_CONNECTIONS = 20;
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final int POLL_MS = 10;
    private static final int MAX_READ_BYTES = 16 << 10;
    private static final long EVICTED_CLOSE_MS = 1_000;
    private static final long CHECKED_TIMEOUT_MS = 4_000;
    private static final String SMALL = "POST /small HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";

    private final Vertx mVertx = Vertx.vertx();
    private CallerMemory mMemory = new CallerMemory(Ticker.SYSTEM, MAX_BYTES, MAX_CONNECTIONS);
    private final List<String> mHandled = new CopyOnWriteArrayList<>();
    private final List<Integer> mPartSizes = new CopyOnWriteArrayList<>();
    private final List<Socket> mSockets = new ArrayList<>();
    private BodyReader.HeadCheck mHeadCheck = () -> {};
    private Consumer<Buffer> mOnWholeBody = body -> {};
    private Consumer<HttpServerRequest> mOnBody = request -> request.response().end("whole");

    @AfterEach
    void close() throws Exception {
        for (Socket socket : mSockets) {
            socket.close();
        }
        await(mVertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    }

    private int serve() throws Exception {
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        HttpServer server =
                mVertx.createHttpServer(options)
                        .connectionHandler(
                                c ->
                                        RequestHeadDecoder.install(
                                                c,
                                                options,
                                                () -> TimeUnit.HOURS.toMillis(1),
                                                mMemory))
                        .requestHandler(this::handle)
                        .invalidRequestHandler(
                                request -> {
                                    request.response().putHeader("Connection", "close");
                                    request.response()
                                            .endHandler(v -> request.connection().close());
                                    RequestHeadDecoder.toProblem(request)
                                            .send(request.response(), "-");
                                });
        return await(server.listen(0, "127.0.0.1")).actualPort();
    }

    private void handle(HttpServerRequest request) {
        long timeoutMs = TimeUnit.HOURS.toMillis(1);
        Future<?> read =
                switch (request.path()) {
                    case "/stream" ->
                            BodyReader.stream(
                                    mVertx,
                                    request,
                                    64 << 20,
                                    timeoutMs,
                                    this::addPart,
                                    () -> 1_000);
                    case "/checked" ->
                            BodyReader.read(
                                    mVertx, request, 4 << 20, CHECKED_TIMEOUT_MS, mHeadCheck);
                    default -> BodyReader.read(mVertx, request, 4 << 20, timeoutMs);
                };
        read.onSuccess(
                        body -> {
                            mHandled.add(request.path());
                            if (body instanceof Buffer whole) {
                                mOnWholeBody.accept(whole);
                            }
                            mOnBody.accept(request);
                        })
                .onFailure(e -> Problem.of(e).send(request.response(), "-"));
    }

    private void addPart(Buffer part) {
        mPartSizes.add(part.length());
    }

    private Socket send(int port, String text) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        mSockets.add(socket);
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Sends a body that is evicted; its connection may be closed before all of it is sent. */
    private String sendEvicted(int port) throws IOException {
        Socket socket = send(port, "");
        try {
            byte[] body = unfinishedBody(MAX_BYTES).getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write(body);
        } catch (SocketException e) {
            return "";
        }
        return read(socket);
    }

    /** Returns the response up to its end, or up to the end of the connection. */
    private static String read(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        int next = in.read();
        while (next >= 0) {
            text.append((char) next);
            if (text.toString().endsWith("whole")) {
                return text.toString();
            }
            next = in.read();
        }
        return text.toString();
    }

    private void awaitBytes(long minBytes) throws InterruptedException {
        while (mMemory.usedBytes() < minBytes) {
            Thread.sleep(POLL_MS);
        }
    }

    private void awaitNoBytes() throws InterruptedException {
        while (mMemory.usedBytes() > 0) {
            Thread.sleep(POLL_MS);
        }
    }

    private static String unfinishedBody(int bytes) {
        return "POST /large HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" + "b".repeat(bytes);
    }

    /** Guards against responses of any kind that nobody reads and that take all memory. */
    @Test
    void unreadResponsesAreBounded() throws Exception {
        int maxBytes = 64 << 20;
        mMemory = new CallerMemory(Ticker.SYSTEM, maxBytes, MAX_CONNECTIONS);
        Buffer large = Buffer.buffer(new byte[maxBytes / 4]);
        Semaphore handled = new Semaphore(0);
        Semaphore closed = new Semaphore(0);
        mOnBody =
                request -> {
                    request.connection().closeHandler(v -> closed.release());
                    request.response().end(large);
                    handled.release();
                };
        int port = serve();
        int callers = MAX_CONNECTIONS - 2;
        for (int i = 0; i < callers; i++) {
            send(port, SMALL);
        }
        assertTrue(handled.tryAcquire(callers, SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        // At most the memory of two of them may remain, and what the system takes.
        assertTrue(closed.tryAcquire(callers - 4, SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        mOnBody = request -> request.response().end("whole");
        assertTrue(read(send(port, SMALL)).endsWith("whole"));
    }

    /** Guards against a refusal that a caller loses in a reset, since it is still sending. */
    @Test
    void evictedCallerThatStillSendsGetsItsRefusal() throws Exception {
        Socket caller = send(serve(), unfinishedBody(MAX_BYTES / 2 + MAX_READ_BYTES));
        while (mMemory.connections() > 0 || mMemory.evictions() == 0) {
            Thread.sleep(POLL_MS);
        }
        for (int i = 0; i < 10; i++) {
            Thread.sleep(POLL_MS);
            caller.getOutputStream().write(new byte[MAX_READ_BYTES]);
        }
        String answer = read(caller);
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
    }

    /** Guards against the loss of an accepted call when the memory is short for the next one. */
    @Test
    void acceptedCallsAreAnsweredAlthoughTheNextRequestsAreEvicted() throws Exception {
        mMemory = new CallerMemory(Ticker.SYSTEM, MAX_BYTES / 8, MAX_CONNECTIONS);
        List<HttpServerRequest> held = new CopyOnWriteArrayList<>();
        Semaphore closed = new Semaphore(0);
        mOnBody =
                request -> {
                    request.connection().closeHandler(v -> closed.release());
                    held.add(request);
                };
        int port = serve();
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS - 2; i++) {
            callers.add(send(port, SMALL));
        }
        while (held.size() < callers.size()) {
            Thread.sleep(POLL_MS);
        }
        for (Socket caller : callers) {
            caller.getOutputStream()
                    .write(unfinishedBody(MAX_READ_BYTES).getBytes(StandardCharsets.ISO_8859_1));
        }
        while (mMemory.evictions() == 0) {
            Thread.sleep(POLL_MS);
        }
        await(mVertx.timer(EVICTED_CLOSE_MS * 2, TimeUnit.MILLISECONDS));
        held.forEach(request -> mVertx.runOnContext(v -> request.response().end("whole")));
        for (Socket caller : callers) {
            String answer = read(caller);
            assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("whole"), answer);
        }
        int evicted = (int) mMemory.evictions();
        assertTrue(closed.tryAcquire(evicted, SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** Guards against a call that runs on for a caller that has left a further request behind. */
    @Test
    void callerThatLeavesIsNoticedWhileItsNextRequestWaits() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        CountDownLatch accepted = new CountDownLatch(1);
        mOnBody =
                request -> {
                    request.connection().closeHandler(v -> closed.countDown());
                    accepted.countDown();
                };
        Socket caller = send(serve(), SMALL + SMALL);
        assertTrue(accepted.await(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        caller.close();
        assertTrue(closed.await(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** Guards against requests without a caller, which pile up once they are read. */
    @Test
    void waitingRequestsOfCallersThatHaveLeftAreNotRead() throws Exception {
        mMemory = new CallerMemory(Ticker.SYSTEM, 1 << 30, MAX_CONNECTIONS);
        CountDownLatch closed = new CountDownLatch(1);
        CountDownLatch accepted = new CountDownLatch(1);
        mOnBody =
                request -> {
                    request.connection().closeHandler(v -> closed.countDown());
                    request.response().end("unread".repeat(1 << 20));
                    accepted.countDown();
                };
        Socket caller = send(serve(), SMALL.repeat(20));
        assertTrue(accepted.await(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        caller.close();
        assertTrue(closed.await(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        await(mVertx.timer(EVICTED_CLOSE_MS, TimeUnit.MILLISECONDS));
        assertEquals(List.of("/small"), mHandled);
    }

    /** Guards against a stop that waits for requests which it would refuse once they are read. */
    @Test
    void requestThatCannotBeServedAnyMoreIsRefusedWhileItIsRead() throws Exception {
        mHeadCheck =
                () -> {
                    throw new Problem(ProblemType.NOT_READY, Step.ROUTE, "it stops");
                };
        String answer = read(send(serve(), "POST /checked HTTP/1.1\r\nContent-Length: 9\r\n\r\nb"));
        assertTrue(answer.contains("not-ready"), answer);
    }

    /** Guards against fields of forms, which no consumer gets, that are kept and not counted. */
    @Test
    void fieldsOfFormsCount() throws Exception {
        int port = serve();
        String field =
                "--part\r\nContent-Disposition: form-data; name=\"n\"\r\n\r\n"
                        + "f".repeat(8_000)
                        + "\r\n";
        String head =
                "POST /stream HTTP/1.1\r\nContent-Type: multipart/form-data; boundary=part\r\n"
                        + "Content-Length: 4000000\r\n\r\n";
        String answer = read(send(port, head + field.repeat(200)));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
    }

    /** Guards against the change of a body that is forwarded as it came. */
    @Test
    void formsThatAreReadWholeStayAsTheyAre() throws Exception {
        int port = serve();
        String form =
                "--part\r\nContent-Disposition: form-data; name=\"n\"\r\n\r\nfield\r\n--part--\r\n";
        AtomicReference<String> body = new AtomicReference<>();
        mOnWholeBody = whole -> body.set(whole.toString());
        String head =
                "POST /small HTTP/1.1\r\nContent-Type: multipart/form-data; boundary=part\r\n"
                        + "Content-Length: "
                        + form.length()
                        + "\r\n\r\n";
        assertTrue(read(send(port, head + form)).endsWith("whole"));
        assertEquals(form, body.get());
    }

    /** Guards against a refusal that does not tell the caller that nothing was run. */
    @Test
    void evictedBodyIsRefusedTruthfully() throws Exception {
        int port = serve();
        String answer = read(send(port, unfinishedBody(MAX_BYTES)));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        assertTrue(answer.toLowerCase().contains("retry-after: 1"), answer);
        assertTrue(answer.contains("\"execution\":\"not-run\""), answer);
        assertEquals(List.of(), mHandled);
        assertTrue(read(send(port, SMALL)).endsWith("whole"));
    }

    /** Guards against heads whose lines take far more memory than their bytes. */
    @Test
    void evictedHeadIsRefusedTruthfully() throws Exception {
        int port = serve();
        String head = "GET /head HTTP/1.1\r\n" + "a:\r\n".repeat(1_500);
        Socket first = send(port, head);
        awaitBytes(MAX_BYTES / 2);
        String answer = read(send(port, head));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(answer.contains("\"execution\":\"not-run\""), answer);
        first.getOutputStream().write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(read(first).endsWith("whole"));
        assertEquals(List.of("/head"), mHandled);
    }

    /** Guards against lines behind the last chunk that are not counted. */
    @Test
    void trailersAreCounted() throws Exception {
        int port = serve();
        String start = "POST /trailers HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        Socket first = send(port, start + "a:\r\n".repeat(1_500));
        awaitBytes(MAX_BYTES / 2);
        first.close();
        awaitNoBytes();
    }

    /** Guards against small chunks that are kept one by one. */
    @Test
    void smallChunksArePassedOnTogether() throws Exception {
        int port = serve();
        int chunks = 20_000;
        String start = "POST /stream HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertTrue(
                read(send(port, start + "1\r\na\r\n".repeat(chunks) + "0\r\n\r\n"))
                        .endsWith("whole"));
        assertEquals(chunks, mPartSizes.stream().mapToInt(Integer::intValue).sum());
        assertTrue(mPartSizes.size() < chunks / 10, mPartSizes.size() + " parts");
        awaitNoBytes();
    }

    /** Guards against a long upload that is refused although only a part of it is kept. */
    @Test
    void streamedBodyCountsOnlyWhatIsKept() throws Exception {
        int port = serve();
        int bytes = 16 << 20;
        String start = "POST /stream HTTP/1.1\r\nContent-Length: " + bytes + "\r\n\r\n";
        assertTrue(read(send(port, start + "s".repeat(bytes))).endsWith("whole"));
        assertEquals(bytes, mPartSizes.stream().mapToInt(Integer::intValue).sum());
    }

    /** Guards against accepted calls that lose their memory, or hold it after their response. */
    @Test
    void acceptedCallIsAnsweredAlthoughOthersAreEvicted() throws Exception {
        List<HttpServerRequest> accepted = new CopyOnWriteArrayList<>();
        mOnBody = accepted::add;
        int port = serve();
        Socket first =
                send(
                        port,
                        "POST /x HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + "x".repeat(400_000));
        while (accepted.isEmpty()) {
            Thread.sleep(POLL_MS);
        }
        for (int i = 0; i < 5; i++) {
            String answer = sendEvicted(port);
            assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 503 "), answer);
        }
        accepted.get(0).response().end("whole");
        assertTrue(read(first).endsWith("whole"));
        awaitNoBytes();
    }

    /** Guards against a pipelined request's refusal in place of the answer to the one before. */
    @Test
    void requestsBehindEachOtherAreAnsweredInOrder() throws Exception {
        int port = serve();
        Socket socket = send(port, SMALL + SMALL.replace("small", "second"));
        assertTrue(read(socket).startsWith("HTTP/1.1 200 "));
        assertTrue(read(socket).startsWith("HTTP/1.1 200 "));
        assertEquals(List.of("/small", "/second"), mHandled);
        awaitNoBytes();
    }

    /** Guards against idle connections that take all descriptors. */
    @Test
    void idleConnectionsGiveWayToCallers() throws Exception {
        int port = serve();
        for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
            send(port, "");
        }
        assertTrue(read(send(port, SMALL)).endsWith("whole"));
        assertTrue(mMemory.connections() <= MAX_CONNECTIONS);
    }
}
