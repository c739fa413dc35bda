package org.sesamepin.standin.service;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.sesamepin.standin.KeyLeakCounter;
import org.sesamepin.standin.StandInServer;

/**
 * Stand-in for a plain HTTP service. The response to a call contains the number of its execution;
 * executions are counted by the caller's {@code Idempotency-Key} as well. {@code POST
 * /standin/faults} sets what happens to the next calls: {@code drop-after} executes them and closes
 * the connection, {@code drop-before} closes the connection without executing them, {@code silent}
 * executes them and never responds, {@code endless} executes them and sends a response body without
 * end.
 */
public final class ServiceStandIn extends StandInServer {
    private static final Buffer ENDLESS_BLOCK = Buffer.buffer("a".repeat(64 << 10));

    private final String mName;
    private final AtomicLong mExecutionCount = new AtomicLong();
    private final Map<String, Long> mExecutionsByIdempotencyKey = new TreeMap<>();
    private final KeyLeakCounter mKeyLeakCounter = new KeyLeakCounter();
    private String mFault = "none";
    private long mRemainingFaultyCalls;
    private long mDelayMs;

    /** Creates a service without a fault that responds after {@code delayMs} milliseconds. */
    public ServiceStandIn(Vertx vertx, InetSocketAddress address, String name, long delayMs) {
        super(vertx, address);
        mName = name;
        mDelayMs = delayMs;
    }

    @Override
    protected void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> handle(request, body));
    }

    private void handle(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/standin/faults" -> setFault(request, parseJsonObject(body));
            case "/standin/executions" -> respond(request, 200, executionReport());
            case "/load" -> respond(request, 200, new JsonObject().put("active", 0));
            default -> execute(request, body);
        }
    }

    private synchronized void setFault(HttpServerRequest request, JsonObject fault) {
        mFault = fault.getString("kind", "none");
        mRemainingFaultyCalls = fault.getLong("count", 1L);
        mDelayMs = fault.getLong("delay_ms", mDelayMs);
        respond(request, 200, new JsonObject());
    }

    private synchronized JsonObject executionReport() {
        return new JsonObject()
                .put("executions", mExecutionCount.get())
                .put(
                        "by_idempotency_key",
                        new JsonObject(new TreeMap<>(mExecutionsByIdempotencyKey)))
                .put("key_sightings", mKeyLeakCounter.count());
    }

    private void execute(HttpServerRequest request, Buffer body) {
        mKeyLeakCounter.inspect(request, body);
        String fault = consumeFault();
        if (fault.equals("drop-before")) {
            request.connection().close();
            return;
        }
        long execution = mExecutionCount.incrementAndGet();
        String idempotencyKey = request.getHeader("Idempotency-Key");
        if (idempotencyKey != null) {
            synchronized (this) {
                mExecutionsByIdempotencyKey.merge(idempotencyKey, 1L, Long::sum);
            }
        }
        if (fault.equals("drop-after")) {
            request.connection().close();
            return;
        }
        if (fault.equals("silent")) {
            return;
        }
        if (fault.equals("endless")) {
            sendWithoutEnd(request.response().setChunked(true));
            return;
        }
        JsonObject responseBody =
                new JsonObject()
                        .put("service", mName)
                        .put("execution", execution)
                        .put("path", request.path())
                        .put("received", body.toString());
        if (mDelayMs > 0) {
            mVertx.setTimer(mDelayMs, t -> respond(request, 200, responseBody));
        } else {
            respond(request, 200, responseBody);
        }
    }

    /**
     * Sends blocks until a write fails. Each one has a turn of the event loop of its own: on a
     * connection that the caller closes, writes need not fill the queue, so a loop may not end.
     */
    private void sendWithoutEnd(HttpServerResponse response) {
        response.write(ENDLESS_BLOCK)
                .onSuccess(v -> mVertx.runOnContext(turn -> sendWithoutEnd(response)));
    }

    private synchronized String consumeFault() {
        if (mFault.equals("none") || mRemainingFaultyCalls <= 0) {
            return "none";
        }
        mRemainingFaultyCalls--;
        return mFault;
    }
}
