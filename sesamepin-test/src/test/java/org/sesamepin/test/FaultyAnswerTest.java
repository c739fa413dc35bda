package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamepin.cli.DemoFleet;
import org.sesamepin.node.Node;
import org.sesamepin.node.settings.NodeSettings;

/** Checks that callers of the product's API get no faulty answer of a target as an answer. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FaultyAnswerTest {
    /** Size of a request body that no socket buffer holds, bytes. */
    private static final int BODY_BYTES = 12 << 20;

    private static final int ITEM_BYTES = 180_000;

    /** A further node of the fleet, which takes large bodies. */
    private static final int NODE = DemoFleet.NODE_COUNT;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int BACKLOG = 64;
    private static final int RESET_AFTER_MS = 50;
    private static final int MIN_FAILURE = 500;
    private static final Pattern LENGTH = Pattern.compile("\ncontent-length: *(\\d+)");
    private static final Pattern ID = Pattern.compile("\nx-request-id: *(\\S+)");

    private final FleetWorld mWorld = new FleetWorld();
    private final ServerSocket mServer = new ServerSocket();
    private final Vertx mVertx = Vertx.vertx();
    private @Nullable Node mNode;
    private volatile Fault mFault = Fault.NO_STATUS;

    /** What the target does. */
    enum Fault {
        /** Answers with the status 000. */
        NO_STATUS {
            @Override
            void answer(Socket socket, String id, int bodyBytes) throws IOException {
                socket.getInputStream().skipNBytes(bodyBytes);
                write(socket, "HTTP/1.1 000 x\r\n" + id + "Content-Length: 4\r\n\r\ntext");
            }
        },
        /** Answers without a length while the request is being sent, then resets. */
        EARLY_RESET {
            @Override
            void answer(Socket socket, String id, int bodyBytes) throws IOException {
                write(socket, "HTTP/1.1 200 x\r\n" + id + "\r\npart");
                reset(socket);
            }
        },
        /** Answers without a length when the request has arrived, then resets. */
        LATE_RESET {
            @Override
            void answer(Socket socket, String id, int bodyBytes) throws IOException {
                socket.getInputStream().skipNBytes(bodyBytes);
                write(socket, "HTTP/1.1 200 x\r\n" + id + "\r\npart");
                reset(socket);
            }
        };

        abstract void answer(Socket socket, String id, int bodyBytes) throws IOException;

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private static void reset(Socket socket) throws IOException {
            try {
                Thread.sleep(RESET_AFTER_MS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    FaultyAnswerTest() throws IOException {}

    @BeforeAll
    void start() throws Exception {
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        startThread(this::accept);
        mWorld.start();
        String settings =
                mWorld.fleet()
                        .nodeSettingsText(NODE)
                        .replace("max_body_bytes = 200000", "max_body_bytes = 20000000");
        mNode = new Node(mVertx, NodeSettings.parse("test", settings));
        mNode.start();
        String address = "\naddress = 127.0.0.1:" + mServer.getLocalPort() + "\nslots = 8\n";
        mWorld.fleet()
                .roll(
                        mWorld.fleet()
                                .nextBundleText(
                                        "[target faulty-0]\nservice = faulty"
                                                + address
                                                + "[model faulty-model]\n"
                                                + "request_timeout_ms = 3000\n"
                                                + "[target faulty-1]\nmodel = faulty-model"
                                                + address
                                                + "[route once]\npath = /once\nmethods = POST\n"
                                                + "service = faulty\nidempotent = false\n"
                                                + "[route twice]\npath = /twice\nmethods = POST\n"
                                                + "service = faulty\nidempotent = true\n"));
        String key = mWorld.fleet().highRateKey();
        FleetWorld.await(
                "the route", () -> mWorld.client().get(NODE, "/once", key).statusCode() == 405);
    }

    @AfterAll
    void stop() throws Exception {
        mServer.close();
        Node node = mNode;
        if (node != null) {
            node.close();
        }
        mVertx.close().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
        mWorld.stop();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "faulty-target");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The target is closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            String lowerCase = head.toString().toLowerCase(Locale.ROOT);
            Matcher length = LENGTH.matcher(lowerCase);
            Matcher id = ID.matcher(lowerCase);
            mFault.answer(
                    socket,
                    id.find() ? "X-Request-Id: " + id.group(1) + "\r\n" : "",
                    length.find() ? Integer.parseInt(length.group(1)) : 0);
        } catch (IOException e) {
            // The node closed the connection.
        }
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return mWorld.client().post(NODE, path, body, mWorld.fleet().highRateKey());
    }

    private static JsonObject completion(int bytes, boolean stream) {
        return new JsonObject()
                .put("model", "faulty-model")
                .put("prompt", "p".repeat(bytes))
                .put("stream", stream);
    }

    /** Guards against a faulty answer of a service that looks like an answer. */
    @ParameterizedTest
    @CsvSource({
        "NO_STATUS,/once", "NO_STATUS,/twice",
        "EARLY_RESET,/once", "EARLY_RESET,/twice",
        "LATE_RESET,/once", "LATE_RESET,/twice"
    })
    void faultyAnswerOfAServiceIsAFailure(Fault fault, String path) throws Exception {
        mFault = fault;
        HttpResponse<String> response = post(path, "b".repeat(BODY_BYTES));
        assertTrue(response.statusCode() >= MIN_FAILURE, response.statusCode() + response.body());
        JsonObject problem = new JsonObject(response.body());
        assertEquals("unknown", problem.getString("execution"), problem.encode());
    }

    /** Guards against a faulty answer of an engine that looks like an answer. */
    @ParameterizedTest
    @CsvSource({
        "NO_STATUS,true", "NO_STATUS,false",
        "EARLY_RESET,true", "EARLY_RESET,false",
        "LATE_RESET,true", "LATE_RESET,false"
    })
    void faultyAnswerOfAnEngineIsAFailure(Fault fault, boolean stream) throws Exception {
        mFault = fault;
        HttpResponse<String> response =
                post("/v1/completions", completion(BODY_BYTES, stream).encode());
        assertTrue(response.statusCode() >= MIN_FAILURE, response.statusCode() + response.body());
    }

    /** Guards against a faulty answer that becomes the result of a batch item. */
    @ParameterizedTest
    @EnumSource
    void faultyAnswerIsNoResultOfAnItem(Fault fault) throws Exception {
        mFault = fault;
        JsonObject item =
                new JsonObject()
                        .put("custom_id", "item-" + fault)
                        .put("method", "POST")
                        .put("url", "/v1/completions")
                        .put("body", completion(ITEM_BYTES, false));
        JsonObject file = new JsonObject(post("/v1/files", item.encode() + "\n").body());
        JsonObject job =
                new JsonObject(
                        post(
                                        "/v1/batches",
                                        new JsonObject()
                                                .put("input_file_id", file.getString("id"))
                                                .put("endpoint", "/v1/completions")
                                                .encode())
                                .body());
        String path = "/v1/batches/" + job.getString("id");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
        while (System.nanoTime() - end < 0) {
            JsonObject counts =
                    new JsonObject(
                                    mWorld.client()
                                            .get(NODE, path, mWorld.fleet().highRateKey())
                                            .body())
                            .getJsonObject("request_counts");
            assertEquals(0, counts.getInteger("completed"), counts.encode());
            TimeUnit.MILLISECONDS.sleep(100);
        }
        assertFalse(job.getString("id").isEmpty());
        post(path + "/cancel", "");
    }
}
