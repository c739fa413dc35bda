package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.spi.StoreListing;

/**
 * Checks that a call ends with one response when a step of it fails in a way that no step expects,
 * long before the deadline, and that the call no longer counts as running.
 */
class UnexpectedFailureTest {
    private static final long DEADLINE_MS = 30_000;

    /** A limit that the protocol of the tests cannot parse, for which it throws. */
    private static final String UNREADABLE =
            RawTarget.response(200, "Id: r1|Signed: 1|Limit: x", "");

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private final CallHandler mHandler =
            new CallHandler(
                    mFixture.context(),
                    (request, head, body, route, customer) -> {
                        throw new IllegalStateException("of the test");
                    });

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private int startServer(RouteKind kind, RawTarget.Script script) throws Exception {
        RawTarget target = new RawTarget(mVertx, "t", script);
        ServingRoute route =
                new ServingRoute(
                        "r",
                        "h",
                        "/",
                        kind,
                        DEADLINE_MS,
                        300,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        kind != RouteKind.BATCH,
                        300,
                        0,
                        0,
                        0);
        CustomerSpec customer = new CustomerSpec("c", List.of("key"), 1, 0, 0);
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(
                                1,
                                List.of(route),
                                List.of(),
                                List.of(customer),
                                ConnectionLimits.DEFAULT));
        mFixture.state().setTargets(List.of(target.instance()));
        mFixture.context()
                .promptGuard()
                .storeListener()
                .onListing(new StoreListing(1, List.of()), false);
        return mVertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
    }

    private void handle(HttpServerRequest request) {
        mHandler.handle(
                request,
                new CallHead(
                        "r1",
                        request.method(),
                        "h",
                        "/x",
                        "/x",
                        "key",
                        0,
                        null,
                        null,
                        request.headers(),
                        PromptParts.NONE));
    }

    /** Sends a request and returns the status of the response. */
    private static String call(int port) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            String request = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.US_ASCII).split(" ", 3)[1];
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"IDEMPOTENT", "AT_MOST_ONCE", "STREAM", "RESUMABLE_STREAM"})
    void failureWhileAnAnswerIsReadIsAnswered(RouteKind kind) throws Exception {
        int port = startServer(kind, (socket, head, number) -> socket.write(UNREADABLE));
        assertEquals("502", call(port));
        awaitNoRunningCall();
    }

    @Test
    void failureBeforeACallIsSentIsAnswered() throws Exception {
        int port = startServer(RouteKind.BATCH, UnexpectedFailureTest::ignore);
        assertEquals("500", call(port));
    }

    /** The call ends right after its response was written, which may be after it was read here. */
    private void awaitNoRunningCall() throws Exception {
        for (int i = 0; i < 100 && mHandler.runningCalls() > 0; i++) {
            Thread.sleep(10);
        }
        assertEquals(0, mHandler.runningCalls());
    }

    private static void ignore(NetSocket socket, String head, int number) {}
}
