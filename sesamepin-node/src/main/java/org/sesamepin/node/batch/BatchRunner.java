package org.sesamepin.node.batch;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.batch.ItemOutcome;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.Model;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.slot.SlotAllocator;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ResponseBody;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.BatchItem;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.peer.generated.ItemOutcomes;
import org.sesamepin.node.peer.generated.ItemRenewal;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PullItems;
import org.sesamepin.node.prompt.CompletionBody;
import org.sesamepin.node.prompt.LostConnections;
import org.sesamepin.node.prompt.LostTarget;
import org.sesamepin.node.prompt.QuarantineProblems;
import org.sesamepin.node.prompt.SharedPromptGuard;
import org.sesamepin.node.slot.SlotService;
import org.sesamepin.node.slot.TargetHealth;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.target.TargetHeaders;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs batch items on the targets that this host owns.
 *
 * <p>Pulls items from the owners of the jobs while a target has free slots beyond the headroom for
 * online requests, preempts an item at once when an online request needs its slot, and reports the
 * outcome of each attempt to the owner of the job.
 */
public final class BatchRunner implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final long FILL_INTERVAL_MS = 20;
    private static final long RENEWAL_INTERVAL_MS = 1_000;
    private static final long OWNER_CALL_TIMEOUT_MS = 1_000;
    private static final long REPORT_RETRY_DELAY_MS = 300;
    private static final int MAX_REPORT_RETRIES = 200;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_REQUEST_TIMEOUT = 408;

    /** An attempt at an item, which occupies one slot of a target. */
    private static final class RunningItem {
        private final BatchItem mItem;
        private final Target mTarget;
        private final PromptParts mPrompt;
        private final long mSlotId;
        private volatile @Nullable HttpClientRequest mRequest;
        private volatile boolean mEnded;

        RunningItem(BatchItem item, Target target, long slotId) {
            mItem = item;
            mTarget = target;
            mPrompt = CompletionBody.parse(Buffer.buffer(item.getBody()).toString()).promptParts();
            mSlotId = slotId;
        }
    }

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final SlotService mSlots;
    private final TargetHealth mHealth;
    private final TargetClient mTargetClient;
    private final PeerClient mPeers;
    private final PluginRegistry mPlugins;
    private final SharedPromptGuard mPromptGuard;
    private final NodeMetrics mMetrics;
    private final Map<Long, RunningItem> mRunningBySlotId = new ConcurrentHashMap<>();
    private final Set<String> mPullingTargets = ConcurrentHashMap.newKeySet();
    private @Nullable JobService mLocalJobs;
    private volatile boolean mStopping;
    private long mFillTimer;
    private long mRenewalTimer;

    /** Creates a runner; {@link #start} starts it. */
    public BatchRunner(
            Vertx vertx,
            Ticker ticker,
            FleetView fleet,
            BundleManager bundles,
            SlotService slots,
            TargetHealth health,
            TargetClient client,
            PeerClient peers,
            PluginRegistry plugins,
            SharedPromptGuard promptGuard,
            NodeMetrics metrics) {
        mVertx = vertx;
        mTicker = ticker;
        mFleet = fleet;
        mBundles = bundles;
        mSlots = slots;
        mHealth = health;
        mTargetClient = client;
        mPeers = peers;
        mPlugins = plugins;
        mPromptGuard = promptGuard;
        mMetrics = metrics;
    }

    /**
     * Starts pulling items and renewing the leases of running items.
     *
     * @param localJobs service for the jobs that this host itself owns
     */
    public void start(JobService localJobs) {
        mLocalJobs = localJobs;
        mFillTimer = mVertx.setPeriodic(FILL_INTERVAL_MS, t -> fillFreeSlots());
        mRenewalTimer = mVertx.setPeriodic(RENEWAL_INTERVAL_MS, t -> renewLeases());
    }

    private JobService localJobs() {
        JobService localJobs = mLocalJobs;
        if (localJobs == null) {
            throw new IllegalStateException("the batch runner has not been started");
        }
        return localJobs;
    }

    private void fillFreeSlots() {
        if (hasNoPendingItems()) {
            return;
        }
        Bundle bundle = mBundles.current();
        for (Target target : bundle.targets().values()) {
            if (mayRunItems(bundle, target)) {
                pullForTarget(target);
            }
        }
    }

    private boolean hasNoPendingItems() {
        return localJobs().pendingItems().isEmpty()
                && mFleet.livePeerStates().stream().allMatch(p -> p.getPendingItems().isEmpty());
    }

    private boolean mayRunItems(Bundle bundle, Target target) {
        return !mStopping
                && bundle.models().containsKey(target.serviceName())
                && !target.leaving()
                && !mHealth.isLeaving(target.name(), target.hostAndPort())
                && !mHealth.isFailing(target.name())
                && mSlots.owns(target);
    }

    private void pullForTarget(Target target) {
        int freeSlots = mSlots.allocatorFor(target).freeForBatch(mTicker.nanoTime());
        if (freeSlots <= 0) {
            return;
        }
        String owner = pickOwnerWithItems(target.serviceName());
        if (owner == null || !mPullingTargets.add(target.name())) {
            return;
        }
        pullItems(owner, target.serviceName(), freeSlots)
                .onComplete(
                        pulled -> {
                            mPullingTargets.remove(target.name());
                            if (pulled.succeeded()) {
                                pulled.result().forEach(item -> runItem(item, target));
                            }
                        });
    }

    private @Nullable String pickOwnerWithItems(String model) {
        List<String> owners = new ArrayList<>();
        if (localJobs().pendingItems().getOrDefault(model, 0) > 0) {
            owners.add(mFleet.self());
        }
        for (HostState peer : mFleet.livePeerStates()) {
            if (peer.getPendingItems().getOrDefault(model, 0) > 0) {
                owners.add(peer.getHost());
            }
        }
        if (owners.isEmpty()) {
            return null;
        }
        Collections.shuffle(owners);
        return owners.get(0);
    }

    private Future<List<BatchItem>> pullItems(String owner, String model, int max) {
        if (mFleet.isSelf(owner)) {
            return localJobs().leaseItems(owner, model, max);
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.succeededFuture(List.of());
        }
        PullItems pull = new PullItems(mFleet.self(), model, max);
        return mPeers.call(address, PeerRequest.pull(pull), OWNER_CALL_TIMEOUT_MS)
                .map(reply -> reply.getPull().getItems());
    }

    private void runItem(BatchItem item, Target target) {
        SlotAllocator allocator = mSlots.allocatorFor(target);
        long slotId = mStopping ? 0 : allocator.acquireBatchSlot(mTicker.nanoTime());
        if (slotId == 0) {
            reportOutcome(item, target, ItemOutcome.NOT_STARTED, 0, new byte[0]);
            return;
        }
        RunningItem running = new RunningItem(item, target, slotId);
        mRunningBySlotId.put(slotId, running);
        LOG.info(
                "step=route job={} item={} customer={} chosen={} reason=\"slot free for batch\"",
                item.getJobId(),
                item.getIndex(),
                item.getCustomer(),
                target.name());
        mPromptGuard
                .blocking(target.serviceName(), running.mPrompt, requestId(running))
                .onSuccess(entry -> sendOrReject(running, entry));
    }

    private void sendOrReject(RunningItem running, PromptQuarantine.@Nullable Entry entry) {
        if (entry == null) {
            sendToTarget(running)
                    .onSuccess(response -> onResponse(running, response))
                    .onFailure(e -> onAttemptFailed(running, e));
            return;
        }
        Problem problem = QuarantineProblems.notRun(running.mTarget.serviceName(), entry);
        byte[] body = problem.toJson(requestId(running)).toBuffer().getBytes();
        endAttempt(running, ItemOutcome.INVALID, problem.type().status(), body);
    }

    private void onAttemptFailed(RunningItem running, Throwable cause) {
        if (!running.mEnded && LostConnections.isLost(cause)) {
            Target target = running.mTarget;
            LostTarget lost = new LostTarget(target.serviceName(), target.name(), target.address());
            mPromptGuard.recordLostRun(lost, running.mPrompt, 0);
        }
        endAttempt(running, ItemOutcome.TARGET_FAILED, 0, new byte[0]);
    }

    private static String requestId(RunningItem running) {
        BatchItem item = running.mItem;
        return item.getJobId() + "-" + item.getIndex() + "-" + running.mSlotId;
    }

    /** Status and body of the HTTP response of a target. */
    private record TargetResponse(int status, byte[] body) {}

    private Future<TargetResponse> sendToTarget(RunningItem running) {
        Target target = running.mTarget;
        BatchItem item = running.mItem;
        Model model = mBundles.current().models().get(target.serviceName());
        long timeoutMs = model == null ? 1 : model.requestTimeoutMs();
        TargetProtocol protocol;
        try {
            protocol = mPlugins.targetProtocol(target.protocol());
        } catch (SesamepinException e) {
            return Future.failedFuture(e);
        }
        String requestId = requestId(running);
        RequestOptions options =
                TargetClient.requestOptions(target, HttpMethod.POST, item.getPath());
        options.putHeader("Content-Type", "application/json");
        protocol.prepare(options, target, requestId, null);
        return mTargetClient
                .open(target, requestId, options, true)
                .compose(
                        request -> {
                            running.mRequest = request;
                            if (running.mEnded) {
                                request.reset();
                            }
                            return request.send(Buffer.buffer(item.getBody()));
                        })
                .compose(
                        response ->
                                protocol.isResponseTo(
                                                        requestId,
                                                        response.getHeader(
                                                                TargetHeaders.REQUEST_ID))
                                                && ResponseBody.hasFinalStatus(response)
                                        ? ResponseBody.read(
                                                        response, mTargetClient.responseMemory())
                                                .map(
                                                        body ->
                                                                new TargetResponse(
                                                                        response.statusCode(),
                                                                        body.getBytes()))
                                        : Future.failedFuture(
                                                "the response is not an answer to the request"))
                .timeout(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void onResponse(RunningItem running, TargetResponse response) {
        int status = response.status();
        mHealth.recordSuccess(running.mTarget.name());
        if (status < STATUS_CLIENT_ERROR) {
            mMetrics.countCompleted(running.mItem.getCustomer(), "batch");
            mPromptGuard.recordSuccess(running.mTarget.serviceName(), running.mPrompt);
            endAttempt(running, ItemOutcome.COMPLETED, status, response.body());
        } else if (status >= STATUS_SERVER_ERROR) {
            endAttempt(running, ItemOutcome.TARGET_FAILED, status, response.body());
        } else if (status == STATUS_TOO_MANY_REQUESTS || status == STATUS_REQUEST_TIMEOUT) {
            endAttempt(running, ItemOutcome.NOT_STARTED, status, response.body());
        } else {
            endAttempt(running, ItemOutcome.INVALID, status, response.body());
        }
    }

    private void endAttempt(RunningItem running, ItemOutcome outcome, int status, byte[] body) {
        if (mRunningBySlotId.remove(running.mSlotId) == null) {
            return;
        }
        running.mEnded = true;
        if (outcome == ItemOutcome.TARGET_FAILED) {
            mHealth.recordFailure(running.mTarget.name());
            resetRequest(running);
        }
        mSlots.releaseBatchSlot(running.mTarget, running.mSlotId);
        reportOutcome(running.mItem, running.mTarget, outcome, status, body);
    }

    /** Cancels the item in a slot that an online request needs, and reports it as preempted. */
    public void preempt(String target, long slotId) {
        RunningItem running = mRunningBySlotId.remove(slotId);
        if (running == null) {
            return;
        }
        running.mEnded = true;
        resetRequest(running);
        mMetrics.countPreemption(target);
        LOG.info(
                "step=route job={} item={} target={} preempted=true",
                running.mItem.getJobId(),
                running.mItem.getIndex(),
                target);
        reportOutcome(running.mItem, running.mTarget, ItemOutcome.PREEMPTED, 0, new byte[0]);
    }

    private static void resetRequest(RunningItem running) {
        HttpClientRequest request = running.mRequest;
        if (request != null) {
            request.reset();
        }
    }

    /** Cancels all running items of a cancelled job, without reporting their outcomes. */
    public void abortJob(String jobId) {
        for (RunningItem running : mRunningBySlotId.values()) {
            boolean ofJob = running.mItem.getJobId().equals(jobId);
            if (ofJob && mRunningBySlotId.remove(running.mSlotId) != null) {
                running.mEnded = true;
                resetRequest(running);
                mSlots.releaseBatchSlot(running.mTarget, running.mSlotId);
            }
        }
    }

    private void reportOutcome(
            BatchItem item, Target target, ItemOutcome outcome, int status, byte[] body) {
        var message = new org.sesamepin.node.peer.generated.ItemOutcome();
        message.setJobId(item.getJobId());
        message.setFence(item.getFence());
        message.setIndex(item.getIndex());
        message.setKind(OutcomeMapper.toWire(outcome));
        message.setStatus(status);
        message.setBody(body);
        message.setTarget(target.name());
        deliverOutcome(message, item.getOwner(), MAX_REPORT_RETRIES);
    }

    /**
     * Delivers an outcome to the owner of the job. Retries after a failed call; if the called host
     * does not own the job, retries only an outcome that has an HTTP status. Each retry looks up
     * the owner again, as the job may have moved to another host.
     */
    private void deliverOutcome(
            org.sesamepin.node.peer.generated.ItemOutcome outcome,
            String owner,
            int remainingRetries) {
        sendOutcome(owner, outcome)
                .onComplete(
                        reply -> {
                            boolean known = reply.succeeded() && reply.result();
                            boolean hasStatus = outcome.getStatus() != 0;
                            if (known
                                    || remainingRetries == 0
                                    || (reply.succeeded() && !hasStatus)) {
                                return;
                            }
                            mVertx.setTimer(
                                    REPORT_RETRY_DELAY_MS,
                                    t ->
                                            deliverOutcome(
                                                    outcome,
                                                    currentOwner(outcome),
                                                    remainingRetries - 1));
                        });
    }

    private String currentOwner(org.sesamepin.node.peer.generated.ItemOutcome outcome) {
        return mFleet.ownerOf(JobService.ownerKey(outcome.getJobId()));
    }

    private Future<Boolean> sendOutcome(
            String owner, org.sesamepin.node.peer.generated.ItemOutcome outcome) {
        if (mFleet.isSelf(owner)) {
            return Future.succeededFuture(localJobs().recordOutcomes(List.of(outcome)));
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.failedFuture("the address of the job's owner is unknown");
        }
        ItemOutcomes outcomes = new ItemOutcomes(List.of(outcome));
        return mPeers.call(address, PeerRequest.outcomes(outcomes), OWNER_CALL_TIMEOUT_MS)
                .map(reply -> reply.getItemRenewal().isKnown());
    }

    private void renewLeases() {
        Map<String, List<RunningItem>> runningByJobId = new HashMap<>();
        for (RunningItem running : mRunningBySlotId.values()) {
            String jobId = running.mItem.getJobId();
            runningByJobId.computeIfAbsent(jobId, id -> new ArrayList<>()).add(running);
        }
        runningByJobId.forEach(this::renewLeases);
    }

    private void renewLeases(String jobId, List<RunningItem> running) {
        String owner = mFleet.ownerOf(JobService.ownerKey(jobId));
        List<Integer> indexes = running.stream().map(item -> item.mItem.getIndex()).toList();
        if (mFleet.isSelf(owner)) {
            localJobs().renewLeases(mFleet.self(), jobId, indexes);
            return;
        }
        String address = mFleet.addressOf(owner);
        if (address != null) {
            long fencingToken = running.get(0).mItem.getFence();
            ItemRenewal renewal = new ItemRenewal(mFleet.self(), jobId, fencingToken, indexes);
            mPeers.call(address, PeerRequest.itemRenewal(renewal), OWNER_CALL_TIMEOUT_MS);
        }
    }

    public int runningItemCount() {
        return mRunningBySlotId.size();
    }

    /**
     * Stops pulling items, and preempts all running items so that the owners of their jobs can
     * lease them to other hosts.
     */
    public void stop() {
        mStopping = true;
        for (RunningItem running : mRunningBySlotId.values()) {
            mSlots.releaseBatchSlot(running.mTarget, running.mSlotId);
            preempt(running.mTarget.name(), running.mSlotId);
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mFillTimer);
        mVertx.cancelTimer(mRenewalTimer);
    }
}
