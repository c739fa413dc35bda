package org.sesamepin.node.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.serving.TargetSoftware;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetState;

/** Checks which origin of a stream counts, and what stands in for one that is unknown. */
class OriginLookupTest {
    private static final long TIMEOUT_MS = 5_000;
    private static final TargetSoftware V1 = new TargetSoftware("s", "v1");
    private static final ServingRoute ROUTE =
            new ServingRoute(
                    "r",
                    "h",
                    "/",
                    RouteKind.RESUMABLE_STREAM,
                    TIMEOUT_MS,
                    300,
                    1,
                    List.of(new ServiceShare("s", 1), new ServiceShare("unused", 0)),
                    3,
                    true,
                    300,
                    0,
                    0,
                    0);

    private final Vertx mVertx = Vertx.vertx();
    private final AtomicLong mNow = new AtomicLong();
    private final Map<String, StreamOrigin> mKnown = new HashMap<>();
    private final ServingFixture mFixture =
            new ServingFixture(mVertx, mNow::get, new KnownOrigins());

    private final class KnownOrigins implements StreamOrigins {
        @Override
        public Future<Void> record(String streamId, StreamOrigin origin) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Optional<Found>> find(String streamId) {
            if (streamId.equals("lost")) {
                return Future.failedFuture("no answer");
            }
            return Future.succeededFuture(
                    Optional.ofNullable(mKnown.get(streamId)).map(o -> new Found(o, "test")));
        }
    }

    @AfterEach
    void close() {
        mFixture.close();
        mVertx.close();
    }

    private String find(@Nullable String streamId, @Nullable String customer) {
        return new OriginLookup(mFixture.context(), ROUTE, customer)
                .find(streamId)
                .result()
                .map(found -> found.source() + " " + found.origin().software().version())
                .orElse("unknown");
    }

    private void setTargets(String... versions) {
        mFixture.state()
                .activateIfNewer(
                        new ServingConfig(
                                1, List.of(ROUTE), List.of(), null, ConnectionLimits.DEFAULT));
        mFixture.state()
                .setTargets(
                        List.of(versions).stream()
                                .map(
                                        version ->
                                                new TargetInstance(
                                                        version,
                                                        1,
                                                        "s",
                                                        version,
                                                        new InetSocketAddress("127.0.0.1", 1),
                                                        "a",
                                                        8,
                                                        TargetState.READY,
                                                        0))
                                .toList());
    }

    @Test
    void originOfAnotherCustomerOrServiceDoesNotCount() {
        setTargets("v1", "v2");
        mKnown.put("a", new StreamOrigin(V1, "c"));
        mKnown.put("b", new StreamOrigin(new TargetSoftware("unused", "v1"), "c"));
        assertEquals("test v1", find("a", "c"));
        assertEquals("unknown", find("a", "d"));
        assertEquals("unknown", find("a", null));
        assertEquals("unknown", find("b", "c"));
    }

    @Test
    void unknownStreamGoesOnOnlyWhereOneVersionServedAllTheTime() {
        setTargets("v1");
        long lifetimeMs = StreamLifetime.ofMs(mFixture.state().config());
        assertEquals(true, lifetimeMs > TIMEOUT_MS, lifetimeMs + " ms");
        for (String streamId : new String[] {null, "nobody's", "lost"}) {
            mNow.set(0);
            assertEquals("unknown", find(streamId, null));
            mNow.set(TimeUnit.MILLISECONDS.toNanos(lifetimeMs));
            assertEquals("only-version v1", find(streamId, null));
        }
        mFixture.state().setFollowsTargets(() -> false);
        assertEquals("unknown", find("nobody's", null), "changes may be missed now");
        mFixture.state().setFollowsTargets(() -> true);
        setTargets("v1", "v2");
        assertEquals("unknown", find("nobody's", null));
    }
}
