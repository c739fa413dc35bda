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
import org.sesamepin.core.slot.SlotAllocator;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.fleet.BundleManager;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.BatchItem;
import org.sesamepin.node.peer.generated.HostState;
import org.sesamepin.node.peer.generated.ItemOutcomes;
import org.sesamepin.node.peer.generated.ItemRenewal;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.peer.generated.PullItems;
import org.sesamepin.node.slot.SlotService;
import org.sesamepin.node.slot.TargetHealth;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.node.spi.TargetProtocol;
import org.sesamepin.node.target.TargetClient;
import org.sesamepin.node.target.TargetHeaders;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs batch items on the targets that this host owns: pulls items from the jobs' owners while
 * slots beyond the headroom are free, gives a slot up at once when an online request wants it, and
 * reports how each attempt ended.
 */
public final class BatchRunner implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("sesamepin.batch");
    private static final long FILL_MS = 20;
    private static final long RENEWAL_MS = 1_000;
    private static final long PULL_TIMEOUT_MS = 1_000;
    private static final long REPORT_RETRY_MS = 300;
    private static final int MAX_REPORTS = 200;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_TIMEOUT = 408;

    private static final class Running {
        private final BatchItem mItem;
        private final Target mTarget;
        private final long mSlot;
        private volatile @Nullable HttpClientRequest mRequest;
        private volatile boolean mEnded;

        Running(BatchItem item, Target target, long slot) {
            mItem = item;
            mTarget = target;
            mSlot = slot;
        }
    }

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final FleetView mFleet;
    private final BundleManager mBundles;
    private final SlotService mSlots;
    private final TargetHealth mHealth;
    private final TargetClient mClient;
    private final PeerClient mPeers;
    private final PluginRegistry mPlugins;
    private final NodeMetrics mMetrics;
    private final Map<Long, Running> mRunning = new ConcurrentHashMap<>();
    private final Set<String> mPulling = ConcurrentHashMap.newKeySet();
    private @Nullable JobService mLocal;
    private volatile boolean mStopping;
    private long mFillTimer;
    private long mRenewalTimer;

    /** Creates a runner that runs nothing yet. */
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
            NodeMetrics metrics) {
        mVertx = vertx;
        mTicker = ticker;
        mFleet = fleet;
        mBundles = bundles;
        mSlots = slots;
        mHealth = health;
        mClient = client;
        mPeers = peers;
        mPlugins = plugins;
        mMetrics = metrics;
    }

    /** Starts pulling; {@code local} holds the jobs that this host itself owns. */
    public void start(JobService local) {
        mLocal = local;
        mFillTimer = mVertx.setPeriodic(FILL_MS, t -> fill());
        mRenewalTimer = mVertx.setPeriodic(RENEWAL_MS, t -> renew());
    }

    private JobService local() {
        JobService local = mLocal;
        if (local == null) {
            throw new IllegalStateException("started first");
        }
        return local;
    }

    private void fill() {
        if (nothingPending()) {
            return;
        }
        Bundle bundle = mBundles.current();
        for (Target target : bundle.targets().values()) {
            if (mayRun(bundle, target)) {
                pullFor(target);
            }
        }
    }

    private boolean nothingPending() {
        return local().pendingItems().isEmpty()
                && mFleet.livePeerStates().stream().allMatch(p -> p.getPendingItems().isEmpty());
    }

    private boolean mayRun(Bundle bundle, Target target) {
        return !mStopping
                && bundle.models().containsKey(target.serviceName())
                && !target.leaving()
                && !mHealth.isLeaving(target.name(), target.hostAndPort())
                && !mHealth.isFailing(target.name())
                && mSlots.owns(target);
    }

    private void pullFor(Target target) {
        int room = mSlots.ledger(target).freeForBatch(mTicker.nanoTime());
        if (room <= 0) {
            return;
        }
        String owner = ownerWithItems(target.serviceName());
        if (owner == null || !mPulling.add(target.name())) {
            return;
        }
        pull(owner, target.serviceName(), room)
                .onComplete(
                        done -> {
                            mPulling.remove(target.name());
                            if (done.succeeded()) {
                                done.result().forEach(item -> run(item, target));
                            }
                        });
    }

    private @Nullable String ownerWithItems(String model) {
        List<String> owners = new ArrayList<>();
        if (local().pendingItems().getOrDefault(model, 0) > 0) {
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

    private Future<List<BatchItem>> pull(String owner, String model, int max) {
        if (mFleet.isSelf(owner)) {
            return local().pull(owner, model, max);
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.succeededFuture(List.of());
        }
        PullItems pull = new PullItems(mFleet.self(), model, max);
        return mPeers.call(address, PeerRequest.pull(pull), PULL_TIMEOUT_MS)
                .map(reply -> reply.getPull().getItems());
    }

    private void run(BatchItem item, Target target) {
        SlotAllocator ledger = mSlots.ledger(target);
        long slot = mStopping ? 0 : ledger.acquireBatchSlot(mTicker.nanoTime());
        if (slot == 0) {
            report(item, target, ItemOutcome.NOT_STARTED, 0, new byte[0]);
            return;
        }
        Running running = new Running(item, target, slot);
        mRunning.put(slot, running);
        LOG.info(
                "step=route job={} item={} customer={} chosen={} reason=\"slot free for batch\"",
                item.getJobId(),
                item.getIndex(),
                item.getCustomer(),
                target.name());
        send(running)
                .onSuccess(answer -> answered(running, answer))
                .onFailure(e -> ended(running, ItemOutcome.TARGET_FAILED, 0, new byte[0]));
    }

    private record Answer(int status, byte[] body) {}

    private Future<Answer> send(Running running) {
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
        String id = item.getJobId() + "-" + item.getIndex() + "-" + running.mSlot;
        RequestOptions options = TargetClient.to(target, HttpMethod.POST, item.getPath());
        options.putHeader("Content-Type", "application/json");
        protocol.prepare(options, target, id, null);
        return mClient.open(target, options, true)
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
                                                id, response.getHeader(TargetHeaders.REQUEST_ID))
                                        ? response.body()
                                                .map(
                                                        b ->
                                                                new Answer(
                                                                        response.statusCode(),
                                                                        b.getBytes()))
                                        : Future.failedFuture("answer of another request"))
                .timeout(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void answered(Running running, Answer answer) {
        int status = answer.status();
        mHealth.succeeded(running.mTarget.name());
        if (status < STATUS_CLIENT_ERROR) {
            mMetrics.completed(running.mItem.getCustomer(), "batch");
            ended(running, ItemOutcome.COMPLETED, status, answer.body());
        } else if (status >= STATUS_SERVER_ERROR) {
            ended(running, ItemOutcome.TARGET_FAILED, status, answer.body());
        } else if (status == STATUS_TOO_MANY || status == STATUS_TIMEOUT) {
            ended(running, ItemOutcome.NOT_STARTED, status, answer.body());
        } else {
            ended(running, ItemOutcome.INVALID, status, answer.body());
        }
    }

    private void ended(Running running, ItemOutcome outcome, int status, byte[] body) {
        if (mRunning.remove(running.mSlot) == null) {
            return;
        }
        running.mEnded = true;
        if (outcome == ItemOutcome.TARGET_FAILED) {
            mHealth.failed(running.mTarget.name());
            reset(running);
        }
        mSlots.releaseBatch(running.mTarget, running.mSlot);
        report(running.mItem, running.mTarget, outcome, status, body);
    }

    /** Cancels the item in a slot that an online request has taken. */
    public void preempt(String target, long slot) {
        Running running = mRunning.remove(slot);
        if (running == null) {
            return;
        }
        running.mEnded = true;
        reset(running);
        mMetrics.preempted(target);
        LOG.info(
                "step=route job={} item={} target={} preempted=true",
                running.mItem.getJobId(),
                running.mItem.getIndex(),
                target);
        report(running.mItem, running.mTarget, ItemOutcome.PREEMPTED, 0, new byte[0]);
    }

    private static void reset(Running running) {
        HttpClientRequest request = running.mRequest;
        if (request != null) {
            request.reset();
        }
    }

    /** Cancels all running items of a job; nothing is reported for them. */
    public void abort(String jobId) {
        for (Running running : mRunning.values()) {
            boolean own = running.mItem.getJobId().equals(jobId);
            if (own && mRunning.remove(running.mSlot) != null) {
                running.mEnded = true;
                reset(running);
                mSlots.releaseBatch(running.mTarget, running.mSlot);
            }
        }
    }

    private void report(
            BatchItem item, Target target, ItemOutcome outcome, int status, byte[] body) {
        var message = new org.sesamepin.node.peer.generated.ItemOutcome();
        message.setJobId(item.getJobId());
        message.setFence(item.getFence());
        message.setIndex(item.getIndex());
        message.setKind(Outcomes.toWire(outcome));
        message.setStatus(status);
        message.setBody(body);
        message.setTarget(target.name());
        deliver(message, item.getOwner(), MAX_REPORTS);
    }

    /** Delivers an outcome to the job's owner, whoever that is by then. */
    private void deliver(
            org.sesamepin.node.peer.generated.ItemOutcome outcome, String owner, int triesLeft) {
        reportTo(owner, outcome)
                .onComplete(
                        done -> {
                            boolean known = done.succeeded() && done.result();
                            boolean worthIt = outcome.getStatus() != 0;
                            if (known || triesLeft == 0 || (done.succeeded() && !worthIt)) {
                                return;
                            }
                            mVertx.setTimer(
                                    REPORT_RETRY_MS,
                                    t -> deliver(outcome, currentOwner(outcome), triesLeft - 1));
                        });
    }

    private String currentOwner(org.sesamepin.node.peer.generated.ItemOutcome outcome) {
        return mFleet.ownerOf(JobService.ownerKey(outcome.getJobId()));
    }

    private Future<Boolean> reportTo(
            String owner, org.sesamepin.node.peer.generated.ItemOutcome outcome) {
        if (mFleet.isSelf(owner)) {
            return Future.succeededFuture(local().outcomes(List.of(outcome)));
        }
        String address = mFleet.addressOf(owner);
        if (address == null) {
            return Future.failedFuture("owner unknown");
        }
        ItemOutcomes outcomes = new ItemOutcomes(List.of(outcome));
        return mPeers.call(address, PeerRequest.outcomes(outcomes), PULL_TIMEOUT_MS)
                .map(reply -> reply.getItemRenewal().isKnown());
    }

    private void renew() {
        Map<String, List<Running>> byJob = new HashMap<>();
        for (Running running : mRunning.values()) {
            String job = running.mItem.getJobId();
            byJob.computeIfAbsent(job, j -> new ArrayList<>()).add(running);
        }
        byJob.forEach(this::renew);
    }

    private void renew(String jobId, List<Running> items) {
        String owner = mFleet.ownerOf(JobService.ownerKey(jobId));
        List<Integer> indexes = items.stream().map(r -> r.mItem.getIndex()).toList();
        if (mFleet.isSelf(owner)) {
            local().renew(mFleet.self(), jobId, indexes);
            return;
        }
        String address = mFleet.addressOf(owner);
        if (address != null) {
            long fence = items.get(0).mItem.getFence();
            ItemRenewal renewal = new ItemRenewal(mFleet.self(), jobId, fence, indexes);
            mPeers.call(address, PeerRequest.itemRenewal(renewal), PULL_TIMEOUT_MS);
        }
    }

    public int running() {
        return mRunning.size();
    }

    /** Stops pulling and gives running items back to their jobs' owners. */
    public void stop() {
        mStopping = true;
        for (Running running : mRunning.values()) {
            mSlots.releaseBatch(running.mTarget, running.mSlot);
            preempt(running.mTarget.name(), running.mSlot);
        }
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mFillTimer);
        mVertx.cancelTimer(mRenewalTimer);
    }
}
