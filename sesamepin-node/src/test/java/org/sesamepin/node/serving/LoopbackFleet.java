package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.sesamepin.core.job.JobItem;
import org.sesamepin.core.job.JobResult;
import org.sesamepin.core.serving.ConnectionLimits;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServiceSpec;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.core.target.TargetDirectory;
import org.sesamepin.node.job.JobContentReader;
import org.sesamepin.node.job.JobRequestHandler;
import org.sesamepin.node.job.MemoryStore;
import org.sesamepin.node.spi.StoreChanges;
import org.sesamepin.node.spi.StoreListing;
import org.sesamepin.node.spi.StoreTransaction;
import org.sesamepin.node.spi.WatchableStore;

/**
 * Nodes in one process, with a store in memory and stand-in targets. All of them run on one event
 * loop; the test's thread calls them through {@link #onLoop}.
 */
final class LoopbackFleet implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 20;

    private final Vertx mVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final MemoryStore mStore = new MemoryStore();
    private final StandInTargets mTargets;
    private final ServingRoute mBatchRoute = newRoute("b", RouteKind.BATCH);
    private final ServingConfig mConfig;
    private final List<ServingNode> mNodes = new ArrayList<>();
    private final List<Integer> mPorts = new ArrayList<>();
    private final List<CallHandler> mHandlers = new ArrayList<>();
    private final HttpClient mClient = mVertx.createHttpClient();
    private int mRequests;
    private int mStartedNodes;
    private Function<String, WatchableStore> mStoreOfNode = node -> mStore;
    private BiFunction<String, InetSocketAddress, InetSocketAddress> mPaths =
            (node, target) -> target;

    LoopbackFleet(RouteKind kind, Set<String> badParts) {
        this(kind, badParts, StandInTargets.SLOTS);
    }

    /**
     * Creates a fleet without nodes.
     *
     * @param slots slots of a target in the configuration; 0 leaves the service uncoordinated
     */
    LoopbackFleet(RouteKind kind, Set<String> badParts, int slots) {
        this(kind, badParts, new ServiceSpec(StandInTargets.SERVICE, slots));
    }

    /** Creates a fleet without nodes whose targets belong to {@code service}. */
    LoopbackFleet(RouteKind kind, Set<String> badParts, ServiceSpec service) {
        mTargets = new StandInTargets(mVertx, mStore, badParts);
        mConfig =
                new ServingConfig(
                        1,
                        List.of(newRoute("r", kind), mBatchRoute),
                        List.of(service),
                        null,
                        ConnectionLimits.DEFAULT);
    }

    private static ServingRoute newRoute(String name, RouteKind kind) {
        String prefix = kind == RouteKind.BATCH ? "/batch/" : "/";
        return new ServingRoute(
                name,
                "h",
                prefix,
                kind,
                5_000,
                300,
                1,
                List.of(new ServiceShare(StandInTargets.SERVICE, 1)),
                3,
                true,
                300,
                0,
                0,
                0);
    }

    /** Lets a node accept a job of one item for each of {@code parts}, the part of its prompt. */
    void submitJob(int node, String jobId, List<String> parts) throws Exception {
        accept(node, jobId, parts);
    }

    /** Submits a job as {@link #submitJob} does, and returns what became of it. */
    JobRequestHandler.Acceptance accept(int node, String jobId, List<String> parts)
            throws Exception {
        return onLoop(() -> beginAccept(node, jobId, parts));
    }

    /** Submits a job as {@link #accept} does. Called on the event loop. */
    Future<JobRequestHandler.Acceptance> beginAccept(int node, String jobId, List<String> parts) {
        List<JobItem> items = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            Map<String, String> headers = Map.of("Part", parts.get(i));
            items.add(new JobItem(jobId + i, "/batch/x", headers, new byte[] {1}, 1));
        }
        return mNodes.get(node).jobs().accept(jobId, "c", mBatchRoute, items);
    }

    /** Cancels a job through a node, unless the store does not take the cancellation. */
    void cancelJob(int node, String jobId) throws Exception {
        onLoop(() -> mNodes.get(node).jobs().cancel(jobId).otherwiseEmpty());
    }

    /** Returns the number of quarantines of prompts that a node knows. */
    int quarantines(int node) throws Exception {
        return onLoop(
                () ->
                        Future.succeededFuture(
                                mNodes.get(node).context().promptGuard().quarantineCount()));
    }

    /** Returns the published results of a job, page by page. */
    List<JobResult> results(int node, String jobId) throws Exception {
        List<JobResult> results = new ArrayList<>();
        List<JobResult> page = resultsFrom(node, jobId, 0);
        while (!page.isEmpty()) {
            results.addAll(page);
            page = resultsFrom(node, jobId, results.size());
        }
        return results;
    }

    private List<JobResult> resultsFrom(int node, String jobId, int offset) throws Exception {
        return onLoop(
                () -> {
                    JobRequestHandler jobs = mNodes.get(node).jobs();
                    return jobs.findSummary(jobId)
                            .compose(
                                    summary ->
                                            mNodes.get(node)
                                                    .jobContent()
                                                    .readResults(
                                                            jobId,
                                                            Objects.requireNonNull(summary),
                                                            offset,
                                                            0))
                            .map(JobContentReader.Page::results);
                });
    }

    /** Sets through which store each node that is started from now on reaches the fleet's store. */
    void setStoreOfNode(Function<String, WatchableStore> storeOfNode) {
        mStoreOfNode = storeOfNode;
    }

    /** Sets at which address each node finds the target that listens at a given one. */
    void setPaths(BiFunction<String, InetSocketAddress, InetSocketAddress> paths) {
        mPaths = paths;
    }

    /** Writes a version of the configuration to the store. */
    void writeConfig(long version) throws Exception {
        onLoop(() -> mStore.commit(new StoreTransaction().put("config/c", "" + version)));
    }

    /** Returns the version of the configuration in force at a node. */
    long configVersion(int node) throws Exception {
        return onLoop(
                () ->
                        Future.succeededFuture(
                                mNodes.get(node).context().state().config().version()));
    }

    /** Starts the targets and the nodes, and waits until the nodes know all targets. */
    void start(int nodes, int targets) throws Exception {
        start(nodes, Collections.nCopies(targets, StandInTargets.VERSION));
    }

    /** Starts a target of each of {@code versions} and the nodes, as {@link #start} does. */
    void start(int nodes, List<String> versions) throws Exception {
        onLoop(
                () -> {
                    mStore.commit(new StoreTransaction().put("config/c", "1"));
                    versions.forEach(mTargets::startOne);
                    return Future.succeededFuture();
                });
        for (int i = 0; i < nodes; i++) {
            startNode();
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!onLoop(() -> Future.succeededFuture(knowsTargets(versions.size())))) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("the nodes do not learn the targets");
            }
            Thread.sleep(20);
        }
        awaitPeers(nodes);
    }

    /** Waits until each node knows this number of ready targets. */
    void awaitTargets(int targets) throws Exception {
        while (!onLoop(() -> Future.succeededFuture(knowsTargets(targets)))) {
            Thread.sleep(20);
        }
    }

    int port(int node) {
        return mPorts.get(node);
    }

    private boolean knowsTargets(int targets) {
        return mNodes.stream()
                .map(node -> node.context().state().targets())
                .allMatch(directory -> ready(directory) == targets);
    }

    private static int ready(TargetDirectory directory) {
        return directory.readyTargets(StandInTargets.SERVICE).size();
    }

    /** Starts one more node. */
    void startNode() throws Exception {
        startNode("n" + ++mStartedNodes);
    }

    /** Starts one more node, which may have the name of one that has ended. */
    void startNode(String name) throws Exception {
        onLoop(
                () -> {
                    ServingNode node =
                            new ServingNode(
                                    mVertx,
                                    newSettings(name),
                                    new PlainProtocol(
                                            mConfig, name, address -> mPaths.apply(name, address)),
                                    mStoreOfNode.apply(name),
                                    new IgnoringListener());
                    mNodes.add(node);
                    CallHandler handler =
                            new CallHandler(node.context(), (r, head, body, route, c) -> {});
                    mHandlers.add(handler);
                    return node.start()
                            .compose(
                                    v ->
                                            mVertx.createHttpServer()
                                                    .requestHandler(r -> handle(handler, r))
                                                    .listen(0, "127.0.0.1"))
                            .map(server -> mPorts.add(server.actualPort()));
                });
    }

    private static void handle(CallHandler handler, HttpServerRequest request) {
        PlainProtocol protocol = new PlainProtocol(ServingConfig.NONE);
        List<String> resumes = request.headers().getAll("Resumes");
        handler.handle(
                request,
                new CallHead(
                        request.getHeader("Id"),
                        request.method(),
                        "h",
                        "/x",
                        "/x",
                        null,
                        5_000,
                        request.getHeader("After"),
                        resumes.size() == 1 ? resumes.get(0) : null,
                        request.headers(),
                        protocol.promptParts(request.headers())));
    }

    private static ServingSettings newSettings(String name) throws Exception {
        return new ServingSettings(
                name,
                "a",
                1,
                FreePorts.address(),
                FreePorts.address(),
                FreePorts.address(),
                List.of(),
                FreePorts.address(),
                8_000,
                60_000,
                1 << 20);
    }

    /** Ends all nodes; those that start later take their places. */
    void closeNodes() throws Exception {
        for (ServingNode node : mNodes) {
            onLoop(
                    () -> {
                        node.close();
                        return Future.succeededFuture();
                    });
        }
        mNodes.clear();
        mHandlers.clear();
        mPorts.clear();
    }

    /** Ends one node; those after it move up. */
    void closeNode(int node) throws Exception {
        ServingNode closed = mNodes.remove(node);
        mHandlers.remove(node);
        mPorts.remove(node);
        onLoop(
                () -> {
                    closed.close();
                    return Future.succeededFuture();
                });
    }

    /** Starts the planned stop of a node; the result completes when its calls have ended. */
    Future<Void> beginStop(int node) throws Exception {
        return onLoop(() -> Future.succeededFuture(mNodes.get(node).stop(mHandlers.get(node))));
    }

    /** Waits until each node knows the others. */
    void awaitPeers(int nodes) throws Exception {
        while (!onLoop(() -> Future.succeededFuture(knowPeers(nodes - 1)))) {
            Thread.sleep(20);
        }
    }

    private boolean knowPeers(int peers) {
        return mNodes.stream().allMatch(node -> node.peerCount() == peers);
    }

    StandInTargets targets() {
        return mTargets;
    }

    MemoryStore store() {
        return mStore;
    }

    ServingNode node(int index) {
        return mNodes.get(index);
    }

    Vertx vertx() {
        return mVertx;
    }

    /**
     * Sends a request with the shared {@code parts} to a node, once; the result is its status, or 0
     * when the answer did not arrive whole. Called on the event loop.
     */
    Future<Integer> send(int node, List<String> parts) {
        return send(node, parts, uniqueBody());
    }

    /** Sends a request as {@link #send(int, List)} does, with a body. */
    Future<Integer> send(int node, List<String> parts, String body) {
        return request(node, parts, body).compose(LoopbackFleet::statusOfWholeAnswer).otherwise(0);
    }

    /** Sends a request as {@link #send} does; the result is the problem, empty for none. */
    Future<String> sendForProblem(int node, List<String> parts) {
        return sendForProblem(node, parts, uniqueBody());
    }

    /** Sends a request with a body; the result is the problem, empty for none. */
    Future<String> sendForProblem(int node, List<String> parts, String body) {
        return request(node, parts, body)
                .map(response -> Objects.requireNonNullElse(response.getHeader("Problem"), ""))
                .otherwise("");
    }

    private String uniqueBody() {
        return "{\"number\":" + mRequests + "}";
    }

    private Future<HttpClientResponse> request(int node, List<String> parts, String body) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(mPorts.get(node))
                        .setURI("/x");
        return mClient.request(options)
                .compose(
                        request ->
                                request.putHeader("Id", "q" + ++mRequests)
                                        .putHeader("Part", parts)
                                        .send(body));
    }

    private static Future<Integer> statusOfWholeAnswer(HttpClientResponse response) {
        return response.body().map(body -> response.statusCode());
    }

    /** Runs {@code task} on the event loop and returns its result. */
    <T> T onLoop(Callable<Future<T>> task) throws Exception {
        Promise<T> done = Promise.promise();
        mVertx.runOnContext(
                v -> {
                    try {
                        task.call().onComplete(done);
                    } catch (Exception e) {
                        done.fail(e);
                    }
                });
        return done.future()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        closeNodes();
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static final class IgnoringListener implements StoreMirror.Listener {
        @Override
        public void onListing(StoreListing listing, boolean afterOutage) {}

        @Override
        public void onChanges(StoreChanges changes, boolean afterOutage) {}
    }
}
