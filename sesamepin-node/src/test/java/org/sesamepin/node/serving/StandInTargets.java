package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * Targets that stream a few events, each of which names the version of the target's software, and
 * that end, as a crashed process does, shortly after they begin to answer a request with a bad
 * part. An ended target refuses connections at once; its registration lapses later, and a
 * replacement registers. Confined to one event loop.
 */
final class StandInTargets {
    static final String SERVICE = "s";
    static final int SLOTS = 8;
    static final int EVENTS = 8;
    static final String VERSION = "v1";
    static final String DOMAIN = "a";
    private static final long EVENT_INTERVAL_MS = 15;
    private static final long REPLACEMENT_MS = 400;
    private static final long LAPSE_MS = 900;

    private final Vertx mVertx;
    private final WatchableStore mStore;
    private final Set<String> mBadParts;
    private final Map<String, HttpServer> mServers = new HashMap<>();
    private final Map<String, String> mVersions = new HashMap<>();
    private final Map<String, String> mDomains = new HashMap<>();
    private final Set<String> mBrokenRequests = new HashSet<>();
    private final List<Long> mEndNanos = new ArrayList<>();
    private final List<Long> mBadArrivalNanos = new ArrayList<>();
    private final Map<String, List<Long>> mArrivalNanos = new HashMap<>();
    private String mRequestLimit = "";
    private String mBadRequestId = "";
    private String mBadBody = "";
    private long mFirstEventMs = EVENT_INTERVAL_MS;
    private long mEventIntervalMs = EVENT_INTERVAL_MS;
    private final Set<String> mLeaving = new HashSet<>();
    private Consumer<HttpServerRequest> mOnArrival = request -> {};
    private int mBreakAfterEvents;
    private int mStarted;

    StandInTargets(Vertx vertx, WatchableStore store, Set<String> badParts) {
        mVertx = vertx;
        mStore = store;
        mBadParts = badParts;
    }

    /** Starts a target and registers it. */
    void startOne() {
        startOne(VERSION);
    }

    /** Starts a target with a version of its software and registers it. */
    void startOne(String version) {
        startOne(version, DOMAIN);
    }

    /** Starts a target in a failure domain and registers it. */
    void startOne(String version, String domain) {
        String id = "t" + ++mStarted;
        mVersions.put(id, version);
        mDomains.put(id, domain);
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
        mStore.commit(
                new StoreTransaction()
                        .put(
                                "targets/" + id,
                                String.join(
                                        " ",
                                        id,
                                        Integer.toString(port),
                                        mVersions.get(id),
                                        mDomains.get(id))));
    }

    private void answer(String id, HttpServerRequest request) {
        boolean hasBadPart =
                request.headers().getAll("Part").stream().anyMatch(mBadParts::contains);
        boolean hasBadHead = hasBadPart || mBadRequestId.equals(request.getHeader("Id"));
        mArrivalNanos.computeIfAbsent(id, i -> new ArrayList<>()).add(System.nanoTime());
        mOnArrival.accept(request);
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
                            breakOffOnce(request, next);
                        });
    }

    /** Ends the connection of a request's first answer within its stream. */
    private void breakOffOnce(HttpServerRequest request, long firstEvent) {
        if (mBreakAfterEvents == 0
                || firstEvent > 1
                || !mBrokenRequests.add(request.getHeader("Id"))) {
            return;
        }
        long delayMs = mFirstEventMs + (mBreakAfterEvents - 1) * EVENT_INTERVAL_MS;
        mVertx.setTimer(delayMs + 1, t -> request.connection().close());
    }

    private void sendEvent(String id, HttpServerResponse response, long event, boolean bad) {
        if (response.closed()) {
            return;
        }
        response.write("id: " + event + "\ndata: " + mVersions.get(id) + "\n\n");
        if (bad) {
            mVertx.setTimer(mEventIntervalMs, t -> end(id));
            return;
        }
        if (event >= EVENTS) {
            response.end();
            return;
        }
        mVertx.setTimer(mEventIntervalMs, t -> sendEvent(id, response, event + 1, false));
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
        String version = mVersions.getOrDefault(id, VERSION);
        String domain = mDomains.getOrDefault(id, DOMAIN);
        mVertx.setTimer(REPLACEMENT_MS, t -> startOne(version, domain));
    }

    /** Stops the targets of a version for good and removes their registrations at once. */
    void stopAll(String version) {
        for (String id : running()) {
            HttpServer server = mServers.get(id);
            if (server != null && version.equals(mVersions.get(id))) {
                mServers.remove(id);
                server.close();
                mStore.commit(new StoreTransaction().delete("targets/" + id));
            }
        }
    }

    /**
     * Lets the connection of each request's first answer end within its stream.
     *
     * @param events least number of events before its end; 0 for whole streams
     */
    void setBreakAfterEvents(int events) {
        mBreakAfterEvents = events;
    }

    /** Sets what is called with each request that reaches a target. */
    void setOnArrival(Consumer<HttpServerRequest> onArrival) {
        mOnArrival = onArrival;
    }

    /** Lets a target say in its answers that it leaves, while its registration stays as it is. */
    void leave(String id) {
        mLeaving.add(id);
    }

    /** Returns the number of requests that have reached a target. */
    int arrivals(String id) {
        return mArrivalNanos.getOrDefault(id, List.of()).size();
    }

    /** Returns the number of requests that have reached the targets of a failure domain. */
    int arrivalsIn(String domain) {
        return mArrivalNanos.keySet().stream()
                .filter(id -> domain.equals(mDomains.get(id)))
                .mapToInt(this::arrivals)
                .sum();
    }

    /** Sets the id of the request that ends each target; empty for none. */
    void setBadRequestId(String id) {
        mBadRequestId = id;
    }

    /** Sets how long a request runs before its first event, milliseconds. */
    void setFirstEventMs(long firstEventMs) {
        mFirstEventMs = firstEventMs;
    }

    /** Sets the time between two events, milliseconds. */
    void setEventIntervalMs(long eventIntervalMs) {
        mEventIntervalMs = eventIntervalMs;
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
        return mostArrivals(mArrivalNanos.values(), windowMs, afterNanos);
    }

    /** Returns the same as {@link #mostArrivals}, of the targets of one failure domain. */
    int mostArrivalsIn(String domain, long windowMs, long afterNanos) {
        Map<String, List<Long>> arrivals = new HashMap<>(mArrivalNanos);
        arrivals.keySet().removeIf(id -> !domain.equals(mDomains.get(id)));
        return mostArrivals(arrivals.values(), windowMs, afterNanos);
    }

    private static int mostArrivals(
            Collection<List<Long>> arrivalsByTarget, long windowMs, long afterNanos) {
        int most = 0;
        for (List<Long> arrivals : arrivalsByTarget) {
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
                fields[2],
                new java.net.InetSocketAddress("127.0.0.1", Integer.parseInt(fields[1])),
                fields[3],
                SLOTS,
                org.sesamepin.core.target.TargetState.READY,
                0);
    }
}
