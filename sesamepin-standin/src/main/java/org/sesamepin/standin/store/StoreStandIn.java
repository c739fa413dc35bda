package org.sesamepin.standin.store;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sesamepin.standin.StandInServer;

/**
 * Stand-in for the platform's key-value service: the range, txn and lease calls of the JSON gateway
 * of etcd v3. It counts calls by kind and simulates the {@link StoreFault} that {@code POST
 * /standin/faults} sets.
 */
public final class StoreStandIn extends StandInServer {
    private static final int MAX_VALUE_BYTES = 1_048_576;
    private static final int LEASE_CHECK_INTERVAL_MS = 50;

    private final KeyValueState mState = new KeyValueState();
    private final Map<String, Long> mCallCounts = new TreeMap<>();
    private final long mLeaseTimer;
    private StoreFault mFault = StoreFault.NONE;
    private @Nullable KeyValueState mStaleSnapshot;

    /** Creates an empty store. */
    public StoreStandIn(Vertx vertx, InetSocketAddress address) {
        super(vertx, address);
        mLeaseTimer = vertx.setPeriodic(LEASE_CHECK_INTERVAL_MS, t -> expireLeases());
    }

    private synchronized void expireLeases() {
        if (mFault.kind() != StoreFault.Kind.OUTAGE) {
            mState.expireLeases(nowMs());
        }
    }

    /** Sets the fault to simulate; replaces the former one. */
    public synchronized void setFault(StoreFault fault) {
        mFault = fault;
        mStaleSnapshot = fault.kind() == StoreFault.Kind.STALE_READS ? mState.snapshot() : null;
        if (fault.kind() == StoreFault.Kind.LEASES_LAPSE) {
            mState.revokeAll();
        }
    }

    /** Returns the number of calls received by kind, including calls that a fault made fail. */
    public synchronized Map<String, Long> callCounts() {
        return Map.copyOf(mCallCounts);
    }

    @Override
    protected void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> handle(request, body));
    }

    private synchronized void handle(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/standin/faults" -> {
                setFault(StoreFault.fromJson(parseJsonObject(body)));
                respond(request, 200, new JsonObject());
            }
            case "/standin/calls" ->
                    respond(request, 200, new JsonObject(new TreeMap<>(mCallCounts)));
            default -> handleCall(request, parseJsonObject(body));
        }
    }

    private void handleCall(HttpServerRequest request, JsonObject body) {
        String kind = callKind(request.path(), body);
        mCallCounts.merge(kind, 1L, Long::sum);
        StoreFault fault = mFault;
        switch (fault.kind()) {
            case OUTAGE -> request.connection().close();
            case SLOW -> mVertx.setTimer(fault.ms(), t -> executeAndRespond(request, body));
            case LOST_ANSWERS -> {
                if (kind.equals("write")) {
                    execute(request.path(), body);
                    mFault = fault.afterLostResponse();
                    request.connection().close();
                } else {
                    executeAndRespond(request, body);
                }
            }
            case RATE_LIMIT -> respond(request, 429, error(8, "too many requests"));
            default -> executeAndRespond(request, body);
        }
    }

    private synchronized void executeAndRespond(HttpServerRequest request, JsonObject body) {
        JsonObject responseBody = execute(request.path(), body);
        respond(request, responseBody.containsKey("error") ? 400 : 200, responseBody);
    }

    private JsonObject execute(String path, JsonObject body) {
        return switch (path) {
            case "/v3/kv/range" -> (mStaleSnapshot == null ? mState : mStaleSnapshot).range(body);
            case "/v3/kv/txn" -> executeTransaction(body);
            case "/v3/lease/grant" -> grantLease(body);
            case "/v3/lease/keepalive" -> keepAlive(body);
            case "/v3/lease/revoke" -> {
                mState.revoke(KeyValueState.parseLong(body, "ID"));
                yield new JsonObject().put("header", mState.header());
            }
            default -> error(12, "unsupported path: " + path);
        };
    }

    private JsonObject executeTransaction(JsonObject body) {
        JsonArray successOperations = getArrayOrEmpty(body, "success");
        JsonArray failureOperations = getArrayOrEmpty(body, "failure");
        if (exceedsValueLimit(successOperations)) {
            return error(3, "a value must not exceed " + MAX_VALUE_BYTES + " bytes");
        }
        if (!mState.leasesExist(successOperations)) {
            return error(5, "requested lease not found");
        }
        JsonArray comparisons = getArrayOrEmpty(body, "compare");
        boolean readOnly = !callKind("/v3/kv/txn", body).equals("write");
        KeyValueState staleSnapshot = mStaleSnapshot;
        KeyValueState state = readOnly && staleSnapshot != null ? staleSnapshot : mState;
        return state.executeTransaction(comparisons, successOperations, failureOperations);
    }

    private static boolean exceedsValueLimit(JsonArray operations) {
        return operations.stream()
                .map(o -> ((JsonObject) o).getJsonObject("request_put"))
                .anyMatch(
                        p ->
                                p != null
                                        && p.getString("value", "").length() * 3L / 4
                                                > MAX_VALUE_BYTES);
    }

    private JsonObject grantLease(JsonObject body) {
        long ttlSeconds = KeyValueState.parseLong(body, "TTL");
        long id = mState.grantLease(ttlSeconds * 1_000, nowMs());
        return new JsonObject().put("ID", Long.toString(id)).put("TTL", Long.toString(ttlSeconds));
    }

    private JsonObject keepAlive(JsonObject body) {
        long id = KeyValueState.parseLong(body, "ID");
        long ttlSeconds = mState.keepAlive(id, nowMs());
        JsonObject result = new JsonObject().put("ID", Long.toString(id));
        if (ttlSeconds > 0) {
            result.put("TTL", Long.toString(ttlSeconds));
        }
        return new JsonObject().put("result", result);
    }

    private static String callKind(String path, JsonObject body) {
        if (path.startsWith("/v3/lease/")) {
            return path.substring("/v3/lease/".length());
        }
        if (path.equals("/v3/kv/txn")) {
            boolean write =
                    getArrayOrEmpty(body, "success").stream()
                            .anyMatch(o -> !((JsonObject) o).containsKey("request_range"));
            return write ? "write" : "read";
        }
        return path.equals("/v3/kv/range") ? "read" : "other";
    }

    private static JsonObject error(int code, String message) {
        return new JsonObject().put("error", message).put("code", code).put("message", message);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() throws Exception {
        mVertx.cancelTimer(mLeaseTimer);
        super.close();
    }
}
