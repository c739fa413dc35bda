package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.spi.StoreListing;

/**
 * The way of an answer from a target to a caller, over sockets, with a judge that knows what the
 * target wrote for each request. An idempotent request is sent to one target.
 */
final class AnswerPath implements AutoCloseable {
    /** Size of a small request body, bytes. */
    static final int BODY_BYTES = 16;

    /** Size of a request body that no socket buffer holds, bytes. */
    static final int LARGE_BODY_BYTES = 2 << 20;

    private static final int FIRST_ID = 100_000;

    private final Vertx mVertx = Vertx.vertx();
    private final ServingFixture mFixture = new ServingFixture(mVertx);
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicInteger mTargets = new AtomicInteger();
    private final Map<String, Integer> mOutcomes = new TreeMap<>();
    private final List<String> mFaults = new ArrayList<>();
    private final List<WrittenAnswer> mWritten = new CopyOnWriteArrayList<>();
    private int mPort;

    /** Starts the host. */
    void listen() throws Exception {
        ServingRoute route =
                new ServingRoute(
                        "r",
                        "h",
                        "/",
                        RouteKind.IDEMPOTENT,
                        5_000,
                        2_000,
                        1,
                        List.of(new ServiceShare("s", 1)),
                        1,
                        true,
                        0,
                        0,
                        0,
                        0);
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(
                                1, List.of(route), List.of(), null, ConnectionLimits.DEFAULT));
        mFixture.context()
                .promptGuard()
                .storeListener()
                .onListing(new StoreListing(1, List.of()), false);
        CallHandler handler =
                new CallHandler(mFixture.context(), (request, head, body, r, customer) -> {});
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(request -> handle(handler, request))
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);
        mPort = server.actualPort();
    }

    /** Starts a target, which is the only one from now on. */
    SocketTarget startTarget(SocketTarget.Script script) throws IOException {
        SocketTarget target = new SocketTarget("t" + mTargets.incrementAndGet(), script);
        useTarget(target.instance());
        return target;
    }

    /** Makes a target the only one from now on. */
    void useTarget(TargetInstance target) {
        mFixture.state().setTargets(List.of(target));
    }

    private static void handle(CallHandler handler, HttpServerRequest request) {
        handler.handle(
                request,
                new CallHead(
                        request.getHeader("Id"),
                        request.method(),
                        "h",
                        "/x",
                        "/x",
                        null,
                        1_500,
                        null,
                        null,
                        request.headers(),
                        PromptParts.NONE));
    }

    /** Connects a caller to the host. */
    SocketCaller connect() throws IOException {
        return new SocketCaller(mPort);
    }

    /** Records an answer that a target writes. */
    void recordWritten(WrittenAnswer answer) {
        mWritten.add(answer);
    }

    /** Judges an answer: whole, failed or wrong. {@code order} describes what the target wrote. */
    void judge(String id, SocketCaller.Answer answer, Object order) {
        if (answer.mark().isEmpty() && !answer.isSuccess()) {
            count("failed");
            return;
        }
        boolean isWritten =
                mWritten.stream()
                        .anyMatch(
                                w ->
                                        w.id().equals(id)
                                                && w.status() == answer.status()
                                                && w.mark().equals(answer.mark())
                                                && w.body().equals(answer.body()));
        count(isWritten ? "whole" : "wrong");
        if (!isWritten) {
            mFaults.add(id + " got " + answer + " from " + order);
        }
    }

    /** Returns an id of constant length that no other request has. */
    String nextId() {
        return "r" + (FIRST_ID + mIds.incrementAndGet());
    }

    /** Counts an outcome. */
    void count(String outcome) {
        mOutcomes.merge(outcome, 1, Integer::sum);
    }

    /** Returns how often each outcome was counted. */
    Map<String, Integer> outcomes() {
        return mOutcomes;
    }

    /** Asserts that no answer was wrong. */
    void assertNoneWrong() {
        assertEquals(List.of(), mFaults, () -> mFaults.size() + " wrong, " + mOutcomes);
    }

    /** Waits. */
    static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        mFixture.close();
        mVertx.close();
    }
}
