package org.sesamepin.node.online;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Customer;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.routing.Candidate;
import org.sesamepin.node.http.BodyReader;
import org.sesamepin.node.http.Contexts;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.limit.Admission;
import org.sesamepin.node.slot.SlotLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Base class of online requests, with the steps that all of them share: admission under the
 * customer's rate, selection of a target with a free slot, and completion with a response or a
 * problem. An instance serves one request and is confined to the event loop of that request.
 */
abstract class OnlineRequestBase {
    /** Logs the decisions about requests. */
    protected static final Logger LOG = LoggerFactory.getLogger("sesamepin.online");

    private static final String REQUEST_CLASS = "online";
    private static final int MAX_TRIED_TARGETS = 3;

    /** The services of this node that requests use. */
    protected final OnlineContext mOnlineContext;

    /** The request of the caller. */
    protected final HttpServerRequest mRequest;

    /** Id of the request in logs, at targets and in the response. */
    protected final String mRequestId = UUID.randomUUID().toString();

    private final Context mEventLoopContext;
    private final Set<String> mTriedTargets = new TreeSet<>();
    private final long mStartNanos = System.nanoTime();
    private @Nullable CallerIdentity mCaller;
    private @Nullable AutoCloseable mRegistration;
    private @Nullable SlotLease mLease;
    private boolean mEnded;

    OnlineRequestBase(OnlineContext onlineContext, HttpServerRequest request) {
        mOnlineContext = onlineContext;
        mRequest = request;
        mEventLoopContext = onlineContext.vertx().getOrCreateContext();
    }

    /** Starts the request; a problem thrown while it starts is sent to the caller. */
    final void start() {
        mRequest.response().exceptionHandler(e -> onCallerDisconnected());
        mRequest.response().closeHandler(v -> onCallerDisconnected());
        try {
            process();
        } catch (Problem e) {
            fail(e);
        }
    }

    /**
     * Authenticates the request and starts the asynchronous steps that serve it.
     *
     * @throws Problem when the request is rejected at once
     */
    protected abstract void process() throws Problem;

    /** Cancels the call to the target, because the caller no longer waits for its response. */
    protected abstract void abort();

    /** Returns the identity that {@link #setCaller} has set. */
    protected final CallerIdentity caller() {
        CallerIdentity caller = mCaller;
        if (caller == null) {
            throw new IllegalStateException("the caller has not been identified yet");
        }
        return caller;
    }

    /**
     * Sets the caller of the request, and ends the request when the key of the caller is withdrawn.
     */
    protected final void setCaller(CallerIdentity caller) {
        mCaller = caller;
        mRegistration =
                mOnlineContext
                        .activeRequests()
                        .register(
                                caller,
                                () -> mEventLoopContext.runOnContext(v -> onKeyWithdrawn()));
    }

    private void onKeyWithdrawn() {
        if (mEnded) {
            return;
        }
        abort();
        boolean mayHaveBeenSent = mLease != null;
        fail(
                new Problem(
                        ProblemType.KEY_WITHDRAWN,
                        Step.AUTHENTICATE,
                        "node",
                        mayHaveBeenSent ? Execution.UNKNOWN : Execution.NOT_RUN,
                        "the key is no longer active",
                        0,
                        null));
        mRequest.connection().close();
    }

    private void onCallerDisconnected() {
        if (!mEnded) {
            abort();
            end();
        }
    }

    /** Returns a future that completes with the same result on the event loop of this request. */
    protected final <T> Future<T> onEventLoop(Future<T> future) {
        return Contexts.completeOn(mEventLoopContext, future);
    }

    /**
     * Reads the body within the node's limits, and rejects a request whose path, query or body
     * contains the caller's key.
     */
    protected final Future<Buffer> readBody() {
        return BodyReader.read(
                        mOnlineContext.vertx(),
                        mRequest,
                        mOnlineContext.limits().maxBodyBytes(),
                        mOnlineContext.limits().readTimeoutMs())
                .compose(this::checkNoMisplacedKey);
    }

    private Future<Buffer> checkNoMisplacedKey(Buffer body) {
        try {
            KeyFilter.rejectMisplacedKey(caller(), mRequest, body);
            return Future.succeededFuture(body);
        } catch (Problem e) {
            return Future.failedFuture(e);
        }
    }

    /**
     * Admits the request under the rate of its customer; requests without a customer always pass.
     */
    protected final Future<Void> admit() {
        Customer customer = caller().customer();
        if (customer == null) {
            return Future.succeededFuture();
        }
        return onEventLoop(mOnlineContext.rateLimiter().admit(customer, 1))
                .compose(admission -> onAdmission(customer, admission));
    }

    private Future<Void> onAdmission(Customer customer, Admission admission) {
        if (admission.admitted()) {
            mOnlineContext.metrics().countAdmitted(customer.name(), REQUEST_CLASS);
            return Future.succeededFuture();
        }
        return Future.failedFuture(admission.toProblem(customer));
    }

    /**
     * Acquires a slot of a target that has not been tried yet. The best targets are tried first,
     * without waiting; if none has a free slot, the request waits in the queue of the best one for
     * at most {@code waitMs} milliseconds.
     */
    protected final Future<SlotLease> acquireSlot(String serviceName, long cost, long waitMs) {
        List<Candidate> candidates =
                mTriedTargets.size() >= MAX_TRIED_TARGETS
                        ? List.of()
                        : mOnlineContext
                                .targetChooser()
                                .order(caller().bundle(), serviceName, mTriedTargets);
        if (candidates.isEmpty()) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.NO_TARGET,
                            Step.ROUTE,
                            "node",
                            Execution.NOT_RUN,
                            "no target available; tried " + mTriedTargets + " for " + serviceName,
                            1_000,
                            null));
        }
        return tryCandidates(candidates, 0, cost, waitMs);
    }

    private Future<SlotLease> tryCandidates(
            List<Candidate> candidates, int index, long cost, long waitMs) {
        boolean isLast = index >= Math.min(2, candidates.size() - 1);
        Candidate candidate = candidates.get(isLast ? 0 : index);
        long candidateWaitMs = isLast ? waitMs : 0;
        return onEventLoop(
                        mOnlineContext
                                .slots()
                                .acquire(
                                        candidate.target(),
                                        caller().customerName(),
                                        mRequestId,
                                        cost,
                                        candidateWaitMs))
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return onSlotGranted(candidates, done.result());
                            }
                            if (!isLast) {
                                return tryCandidates(candidates, index + 1, cost, waitMs);
                            }
                            logRoute(candidates, "none", String.valueOf(done.cause().getMessage()));
                            return Future.failedFuture(overloadedProblem(candidate));
                        });
    }

    private Future<SlotLease> onSlotGranted(List<Candidate> candidates, SlotLease lease) {
        if (mEnded) {
            mOnlineContext.slots().release(lease, false);
            return Future.failedFuture(
                    new Problem(ProblemType.INTERNAL, Step.ROUTE, "the request has ended"));
        }
        mLease = lease;
        mTriedTargets.add(lease.target().name());
        mOnlineContext.targetChooser().recordSent(lease.target());
        logRoute(candidates, lease.target().name(), "slot granted");
        return Future.succeededFuture(lease);
    }

    private void logRoute(List<Candidate> candidates, String chosen, String reason) {
        LOG.info(
                "step=route request={} customer={} candidates={} chosen={} reason=\"{}\"",
                mRequestId,
                caller().customerName(),
                TargetChooser.describe(candidates),
                chosen,
                reason);
    }

    private static Problem overloadedProblem(Candidate candidate) {
        return new Problem(
                ProblemType.OVERLOADED,
                Step.GRANT_SLOT,
                candidate.target().name(),
                Execution.NOT_RUN,
                "all slots were in use",
                1_000,
                null);
    }

    /**
     * Releases the slot, if the request has one. {@code failed} is recorded as a failure of the
     * target, otherwise the call counts as a success.
     */
    protected final void releaseSlot(boolean failed) {
        SlotLease lease = mLease;
        mLease = null;
        if (lease == null) {
            return;
        }
        mOnlineContext.slots().release(lease, failed);
        if (!failed) {
            mOnlineContext.targetHealth().recordSuccess(lease.target().name());
        }
    }

    /** Counts a retry after a failure at {@code lease}'s target, and logs its cause. */
    protected final void recordRetry(SlotLease lease, Throwable cause) {
        Step step = cause instanceof SesamepinException known ? known.step() : Step.SEND;
        mOnlineContext.metrics().countRetry(lease.target().name(), step.label());
        LOG.info(
                "step={} request={} customer={} target={} retry=true reason=\"{}\"",
                step.label(),
                mRequestId,
                caller().customerName(),
                lease.target().name(),
                cause.getMessage());
    }

    /** Records the time to the first byte of the response; called when it is sent to the caller. */
    protected final void recordFirstByte() {
        mOnlineContext.metrics().recordFirstByte(REQUEST_CLASS, System.nanoTime() - mStartNanos);
    }

    /** Ends the request after the whole response has been sent to the caller. */
    protected final void complete() {
        if (mEnded) {
            return;
        }
        mOnlineContext.metrics().countCompleted(caller().customerName(), REQUEST_CLASS);
        LOG.info(
                "step=complete request={} customer={} ms={}",
                mRequestId,
                caller().customerName(),
                (System.nanoTime() - mStartNanos) / 1_000_000);
        end();
    }

    /** Ends the request with the problem that describes {@code e}, which is sent to the caller. */
    protected final void fail(Throwable e) {
        if (mEnded) {
            return;
        }
        Problem problem = Problem.of(e);
        CallerIdentity caller = mCaller;
        String customer = caller == null ? "-" : caller.customerName();
        mOnlineContext.metrics().countRejected(customer, problem.type());
        LOG.info(
                "step={} request={} customer={} peer={} problem={} execution={} detail=\"{}\"",
                problem.step().label(),
                mRequestId,
                customer,
                problem.peer(),
                problem.type().label(),
                problem.execution().label(),
                problem.getMessage());
        if (problem.type() == ProblemType.INTERNAL) {
            LOG.error("step={} request={}", problem.step().label(), mRequestId, e);
        }
        sendProblem(problem);
        end();
    }

    /**
     * Sends the problem to the caller. When the head of a response has been written already, its
     * stream is reset instead.
     */
    protected void sendProblem(Problem problem) {
        HttpServerResponse response = mRequest.response();
        if (response.headWritten() && !response.ended()) {
            response.reset();
            return;
        }
        problem.send(response, mRequestId);
    }

    /**
     * Returns the failure to report when no further attempt can be made. A request that an earlier
     * attempt has sent may have run.
     */
    protected static Throwable failureAfterAttempts(boolean wasSent, Throwable e) {
        if (!wasSent || !(e instanceof Problem problem)) {
            return e;
        }
        return new Problem(
                problem.type(),
                problem.step(),
                problem.peer(),
                Execution.UNKNOWN,
                "an earlier attempt was sent to a target",
                0,
                problem);
    }

    protected final boolean hasEnded() {
        return mEnded;
    }

    private void end() {
        mEnded = true;
        releaseSlot(false);
        AutoCloseable registration = mRegistration;
        if (registration != null) {
            try {
                registration.close();
            } catch (Exception e) {
                LOG.error("step=stop request={}", mRequestId, e);
            }
        }
    }
}
