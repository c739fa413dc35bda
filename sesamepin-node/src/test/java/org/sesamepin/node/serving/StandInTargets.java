package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * Targets that stream a few events and that end, as a crashed process does, shortly after they
 * begin to answer a request with a bad part. An ended target refuses connections at once; its
 * registration lapses later, and a replacement registers. Confined to one event loop.
 */
final class StandInTargets {
    static final String SERVICE = "s";
    static final int SLOTS = 8;
    private static final int EVENTS = 8;
    private static final long EVENT_INTERVAL_MS = 15;
    private static final long REPLACEMENT_MS = 400;
    private static final long LAPSE_MS = 900;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final Set<String> mBadParts;
    private final Map<String, HttpServer> mServers = new HashMap<>();
    private final List<Long> mEndNanos = new ArrayList<>();
    private final List<Long> mBadArrivalNanos = new ArrayList<>();
    private final Map<String, List<Long>> mArrivalNanos = new HashMap<>();
    private String mRequestLimit = "";
    private String mBadRequestId = "";
    private String mBadBody = "";
    private long mFirstEventMs = EVENT_INTERVAL_MS;
    private final Set<String> mLeaving = new HashSet<>();
    private int mStarted;

    StandInTargets(Vertx vertx, WatchableStore store, Set<String> badParts) {
        mVertx = vertx;
        mStore = store;
        mBadParts = badParts;
    }

    /** Starts a target and registers it. */
    void startOne() {
        String id = "t" + ++mStarted;
        HttpServer server = mVertx.createHttpServer();
        server.requestHandler(request -> answer(id, request))
                .listen(0, "127.0.0.1")
                .onSuccess(
                        listening -> {
                            mServers.put(id, listening);
                            register(id, listening.actualPort());
                        });
    }

    private void register(String id, int port) {
        mStore.commit(new StoreTransaction().put("targets/" + id, id + " " + port));
    }

    private void answer(String id, HttpServerRequest request) {
        boolean hasBadPart =
                request.headers().getAll("Part").stream().anyMatch(mBadParts::contains);
        boolean hasBadHead = hasBadPart || mBadRequestId.equals(request.getHeader("Id"));
        mArrivalNanos.computeIfAbsent(id, i -> new ArrayList<>()).add(System.nanoTime());
        request.body()
                .onSuccess(
                        body -> {
                            boolean bad = hasBadHead || mBadBody.equals(body.toString());
                            if (bad) {
                                mBadArrivalNanos.add(System.nanoTime());
                            }
                            HttpServerResponse response = request.response().setChunked(true);
                            response.putHeader("Id", request.getHeader("Id"))
                                    .putHeader("Signed", "1")
                                    .putHeader("Events", "1");
                            if (mLeaving.contains(id)) {
                                response.putHeader("Leaving", "1");
                            }
                            if (!mRequestLimit.isEmpty()) {
                                response.putHeader("Limit", mRequestLimit);
                            }
                            String after = request.getHeader("After");
                            long next = after == null ? 1 : Long.parseLong(after) + 1;
                            mVertx.setTimer(mFirstEventMs, t -> sendEvent(id, response, next, bad));
                        });
    }

    private void sendEvent(String id, HttpServerResponse response, long event, boolean bad) {
        if (response.closed()) {
            return;
        }
        response.write("id: " + event + "\ndata: x\n\n");
        if (bad) {
            mVertx.setTimer(EVENT_INTERVAL_MS, t -> end(id));
            return;
        }
        if (event >= EVENTS) {
            response.end();
            return;
        }
        mVertx.setTimer(EVENT_INTERVAL_MS, t -> sendEvent(id, response, event + 1, false));
    }

    /** Ends a target as a crash does. */
    void end(String id) {
        HttpServer server = mServers.remove(id);
        if (server == null) {
            return;
        }
        mEndNanos.add(System.nanoTime());
        server.close();
        mVertx.setTimer(
                LAPSE_MS, t -> mStore.commit(new StoreTransaction().delete("targets/" + id)));
        mVertx.setTimer(REPLACEMENT_MS, t -> startOne());
    }

    /** Lets a target say in its answers that it leaves, while its registration stays as it is. */
    void leave(String id) {
        mLeaving.add(id);
    }

    /** Returns the number of requests that have reached a target. */
    int arrivals(String id) {
        return mArrivalNanos.getOrDefault(id, List.of()).size();
    }

    /** Sets the id of the request that ends each target; empty for none. */
    void setBadRequestId(String id) {
        mBadRequestId = id;
    }

    /** Sets how long a request runs before its first event, milliseconds. */
    void setFirstEventMs(long firstEventMs) {
        mFirstEventMs = firstEventMs;
    }

    /** Sets the body of the requests that end each target; empty for none. */
    void setBadBody(String body) {
        mBadBody = body;
    }

    /** Sets the requests per second that all targets name in their answers; empty for none. */
    void setRequestLimit(String limit) {
        mRequestLimit = limit;
    }

    /** Returns the most requests that one target got within {@code windowMs} after a moment. */
    int mostArrivals(long windowMs, long afterNanos) {
        int most = 0;
        for (List<Long> arrivals : mArrivalNanos.values()) {
            for (long from : arrivals) {
                long until = from + TimeUnit.MILLISECONDS.toNanos(windowMs);
                long count = arrivals.stream().filter(at -> at >= from && at < until).count();
                most = from < afterNanos ? most : Math.max(most, (int) count);
            }
        }
        return most;
    }

    /** Returns the ids of the targets that run. */
    List<String> running() {
        return List.copyOf(mServers.keySet());
    }

    /** Returns when each target ended, readings of the monotonic clock in nanoseconds. */
    List<Long> endNanos() {
        return mEndNanos;
    }

    /** Returns when each request with a bad part reached a target, in nanoseconds. */
    List<Long> badArrivalNanos() {
        return mBadArrivalNanos;
    }

    static TargetInstance decode(String text) {
        String[] fields = text.split(" ");
        return new TargetInstance(
                fields[0],
                1,
                SERVICE,
                new java.net.InetSocketAddress("127.0.0.1", Integer.parseInt(fields[1])),
                "a",
                SLOTS,
                org.sesamepin.core.target.TargetState.READY,
                0);
    }
}
