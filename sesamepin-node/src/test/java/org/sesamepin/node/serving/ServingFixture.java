package org.sesamepin.node.serving;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.core.target.TargetSelector;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.target.TargetClient;

/**
 * The components of a node that requests use, with a protocol of the test's own and without peers.
 */
public final class ServingFixture implements AutoCloseable {
    private final PeerClient mPeerClient;
    private final TargetClient mTargetClient;
    private final PeerTable mPeers = new PeerTable(Ticker.SYSTEM, "self", 1);
    private final ServingState mState = new ServingState();
    private final ServingContext mContext;

    /** Creates the components. */
    public ServingFixture(Vertx vertx) {
        mPeerClient = new PeerClient(vertx);
        mTargetClient = new TargetClient(vertx);
        LoadTable loads = new LoadTable(Ticker.SYSTEM);
        ServingMetrics metrics = new ServingMetrics();
        TargetSelector targetSelector = new TargetSelector(loads::loadOf, "a", new Random(1));
        PlacementClient placementClient =
                new PlacementClient(
                        vertx,
                        Ticker.SYSTEM,
                        mState,
                        mPeers,
                        mPeerClient,
                        targetSelector,
                        metrics,
                        new NoBatchWork());
        mContext =
                new ServingContext(
                        vertx,
                        Ticker.SYSTEM,
                        new PlainProtocol(),
                        mState,
                        loads,
                        placementClient,
                        mTargetClient,
                        new CustomerRateLimiter(Ticker.SYSTEM, mState, mPeers, mPeerClient),
                        new EventLoopLag(vertx, Ticker.SYSTEM),
                        metrics);
    }

    public ServingContext context() {
        return mContext;
    }

    public ServingState state() {
        return mState;
    }

    public PeerTable peers() {
        return mPeers;
    }

    public PeerClient peerClient() {
        return mPeerClient;
    }

    @Override
    public void close() {
        mTargetClient.close();
        mPeerClient.close();
    }

    private static final class NoBatchWork implements BatchWork {
        @Override
        public boolean suspendOne(TargetInstance target) {
            return false;
        }

        @Override
        public boolean runOne(String service, TargetInstance target) {
            return false;
        }

        @Override
        public Map<String, Integer> waitingItems() {
            return Map.of();
        }

        @Override
        public long firstDueInMs() {
            return 0;
        }

        @Override
        public ItemRunTimes runTimes() {
            return new ItemRunTimes();
        }
    }

    /** A protocol with the headers Id, After, Signed, Not-Run and Events. */
    private static final class PlainProtocol implements FleetProtocol {
        @Override
        public String configPrefix() {
            return "config/";
        }

        @Override
        public boolean isConfig(String key) {
            return false;
        }

        @Override
        public String targetPrefix() {
            return "targets/";
        }

        @Override
        public ServingConfig decodeConfig(byte[] value) throws SesamepinException {
            throw new SesamepinException(
                    Step.LOAD_BUNDLE, "test", "not supported by this protocol");
        }

        @Override
        public TargetInstance decodeTarget(String key, byte[] value) throws SesamepinException {
            throw new SesamepinException(Step.STORE_READ, key, "not supported by this protocol");
        }

        @Override
        public MultiMap requestHeaders(
                CallHead head,
                TargetInstance target,
                @Nullable String customer,
                long budgetMs,
                @Nullable String resumeAfter) {
            MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("Id", head.id());
            return resumeAfter == null ? headers : headers.add("After", resumeAfter);
        }

        @Override
        public PromptParts promptParts(MultiMap headers) {
            return new PromptParts(headers.getAll("Part"));
        }

        @Override
        public void sendProblem(HttpServerResponse response, Problem problem, String requestId) {
            response.setStatusCode(problem.type().status()).end();
        }

        @Override
        public ResponseHead readResponseHead(HttpClientResponse response) {
            return new ResponseHead(
                    response.statusCode(),
                    response.getHeader("Id"),
                    response.getHeader("Not-Run") != null,
                    response.getHeader("Signed") != null,
                    false,
                    response.getHeader("Events") != null,
                    MultiMap.caseInsensitiveMultiMap());
        }
    }
}
