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
 * Steps that every online request shares: admission against the customer's rate, choice of a target
 * with a slot, and the final answer or problem. An instance serves one request on its event loop.
 */
abstract class OnlineRequestBase {
    /** Log of the decisions. */
    protected static final Logger LOG = LoggerFactory.getLogger("sesamepin.online");

    private static final String CLASS = "online";
    private static final int MAX_TARGETS = 3;

    /** What the node offers to requests. */
    protected final OnlineContext mNode;

    /** The caller's request. */
    protected final HttpServerRequest mRequest;

    /** Names the request in logs, at targets and in the answer. */
    protected final String mId = UUID.randomUUID().toString();

    private final Context mContext;
    private final Set<String> mTried = new TreeSet<>();
    private final long mStartedAt = System.nanoTime();
    private @Nullable CallerIdentity mCaller;
    private @Nullable AutoCloseable mSession;
    private @Nullable SlotLease mLease;
    private boolean mEnded;

    OnlineRequestBase(OnlineContext node, HttpServerRequest request) {
        mNode = node;
        mRequest = request;
        mContext = node.vertx().getOrCreateContext();
    }

    /** Starts the request; a problem thrown is answered. */
    final void start() {
        mRequest.response().exceptionHandler(e -> callerGone());
        mRequest.response().closeHandler(v -> callerGone());
        try {
            begin();
        } catch (Problem e) {
            fail(e);
        }
    }

    /** Reads and checks the request. */
    protected abstract void begin() throws Problem;

    /** Ends the call at the target, because nobody waits for it any more. */
    protected abstract void abort();

    /** Returns the identity found by {@link #identified}. */
    protected final CallerIdentity caller() {
        CallerIdentity caller = mCaller;
        if (caller == null) {
            throw new IllegalStateException("the caller is identified first");
        }
        return caller;
    }

    /** Notes who sent the request, and ends it when the key is withdrawn. */
    protected final void identified(CallerIdentity caller) {
        mCaller = caller;
        mSession = mNode.sessions().open(caller, () -> mContext.runOnContext(v -> keyWithdrawn()));
    }

    private void keyWithdrawn() {
        if (mEnded) {
            return;
        }
        abort();
        boolean sent = mLease != null;
        fail(
                new Problem(
                        ProblemType.KEY_WITHDRAWN,
                        Step.AUTHENTICATE,
                        "node",
                        sent ? Execution.UNKNOWN : Execution.NOT_RUN,
                        "the key is not in force any more",
                        0,
                        null));
        mRequest.connection().close();
    }

    private void callerGone() {
        if (!mEnded) {
            abort();
            end();
        }
    }

    /** Brings a result back to this request's event loop; drops it when the request has ended. */
    protected final <T> Future<T> here(Future<T> future) {
        return Contexts.completeOn(mContext, future);
    }

    /** Reads the body within the node's limits and checks that the key stands nowhere in it. */
    protected final Future<Buffer> readBody() {
        return BodyReader.read(
                        mNode.vertx(),
                        mRequest,
                        mNode.limits().maxBodyBytes(),
                        mNode.limits().readTimeoutMs())
                .compose(this::withoutKey);
    }

    private Future<Buffer> withoutKey(Buffer body) {
        try {
            KeyFilter.check(caller(), mRequest, body);
            return Future.succeededFuture(body);
        } catch (Problem e) {
            return Future.failedFuture(e);
        }
    }

    /** Admits the request against its customer's rate. */
    protected final Future<Void> admit() {
        Customer customer = caller().customer();
        if (customer == null) {
            return Future.succeededFuture();
        }
        return here(mNode.limiter().admit(customer, 1)).compose(a -> admitted(customer, a));
    }

    private Future<Void> admitted(Customer customer, Admission admission) {
        if (admission.admitted()) {
            mNode.metrics().countAdmitted(customer.name(), CLASS);
            return Future.succeededFuture();
        }
        return Future.failedFuture(admission.refusal(customer));
    }

    /**
     * Gets a slot of a target that was not tried yet. Free targets are asked first without waiting;
     * then the request queues at the best one for at most {@code waitMs}.
     */
    protected final Future<SlotLease> acquire(String serves, long cost, long waitMs) {
        List<Candidate> candidates =
                mTried.size() >= MAX_TARGETS
                        ? List.of()
                        : mNode.chooser().order(caller().bundle(), serves, mTried);
        if (candidates.isEmpty()) {
            return Future.failedFuture(
                    new Problem(
                            ProblemType.NO_TARGET,
                            Step.ROUTE,
                            "node",
                            Execution.NOT_RUN,
                            "tried " + mTried + " for " + serves,
                            1_000,
                            null));
        }
        return tryCandidates(candidates, 0, cost, waitMs);
    }

    private Future<SlotLease> tryCandidates(
            List<Candidate> candidates, int index, long cost, long waitMs) {
        boolean last = index >= Math.min(2, candidates.size() - 1);
        Candidate candidate = candidates.get(last ? 0 : index);
        long wait = last ? waitMs : 0;
        return here(mNode.slots()
                        .acquire(candidate.target(), caller().customerName(), mId, cost, wait))
                .transform(
                        done -> {
                            if (done.succeeded()) {
                                return chosen(candidates, done.result());
                            }
                            if (!last) {
                                return tryCandidates(candidates, index + 1, cost, waitMs);
                            }
                            logRoute(candidates, "none", String.valueOf(done.cause().getMessage()));
                            return Future.failedFuture(overloaded(candidate));
                        });
    }

    private Future<SlotLease> chosen(List<Candidate> candidates, SlotLease lease) {
        if (mEnded) {
            mNode.slots().release(lease, false);
            return Future.failedFuture(new Problem(ProblemType.INTERNAL, Step.ROUTE, "ended"));
        }
        mLease = lease;
        mTried.add(lease.target().name());
        mNode.chooser().sentTo(lease.target());
        logRoute(candidates, lease.target().name(), "slot granted");
        return Future.succeededFuture(lease);
    }

    private void logRoute(List<Candidate> candidates, String chosen, String reason) {
        LOG.info(
                "step=route request={} customer={} candidates={} chosen={} reason=\"{}\"",
                mId,
                caller().customerName(),
                TargetChooser.describe(candidates),
                chosen,
                reason);
    }

    private static Problem overloaded(Candidate candidate) {
        return new Problem(
                ProblemType.OVERLOADED,
                Step.GRANT_SLOT,
                candidate.target().name(),
                Execution.NOT_RUN,
                "all slots stayed in use",
                1_000,
                null);
    }

    /** Gives the slot back; {@code failed} tells that the target did not answer as it should. */
    protected final void releaseSlot(boolean failed) {
        SlotLease lease = mLease;
        mLease = null;
        if (lease == null) {
            return;
        }
        mNode.slots().release(lease, failed);
        if (!failed) {
            mNode.health().succeeded(lease.target().name());
        }
    }

    /** Counts a retry and logs why. */
    protected final void logRetry(SlotLease lease, Throwable cause) {
        Step step = cause instanceof SesamepinException known ? known.step() : Step.SEND;
        mNode.metrics().countRetry(lease.target().name(), step.label());
        LOG.info(
                "step={} request={} customer={} target={} retry=true reason=\"{}\"",
                step.label(),
                mId,
                caller().customerName(),
                lease.target().name(),
                cause.getMessage());
    }

    /** Notes that the first byte of the answer goes to the caller. */
    protected final void firstByte() {
        mNode.metrics().recordFirstByte(CLASS, System.nanoTime() - mStartedAt);
    }

    /** Ends the request after a whole answer. */
    protected final void completed() {
        if (mEnded) {
            return;
        }
        mNode.metrics().countCompleted(caller().customerName(), CLASS);
        LOG.info(
                "step=complete request={} customer={} ms={}",
                mId,
                caller().customerName(),
                (System.nanoTime() - mStartedAt) / 1_000_000);
        end();
    }

    /** Answers with a problem and ends the request. */
    protected final void fail(Throwable e) {
        if (mEnded) {
            return;
        }
        Problem problem = Problem.of(e);
        CallerIdentity caller = mCaller;
        String customer = caller == null ? "-" : caller.customerName();
        mNode.metrics().countRejected(customer, problem.type());
        LOG.info(
                "step={} request={} customer={} peer={} problem={} execution={} detail=\"{}\"",
                problem.step().label(),
                mId,
                customer,
                problem.peer(),
                problem.type().label(),
                problem.execution().label(),
                problem.getMessage());
        if (problem.type() == ProblemType.INTERNAL) {
            LOG.error("step={} request={}", problem.step().label(), mId, e);
        }
        answer(problem);
        end();
    }

    /** Sends the problem in the form that suits what was sent before. */
    protected void answer(Problem problem) {
        HttpServerResponse response = mRequest.response();
        if (response.headWritten() && !response.ended()) {
            response.reset();
            return;
        }
        problem.send(response, mId);
    }

    protected final boolean hasEnded() {
        return mEnded;
    }

    private void end() {
        mEnded = true;
        releaseSlot(false);
        AutoCloseable session = mSession;
        if (session != null) {
            try {
                session.close();
            } catch (Exception e) {
                LOG.error("step=stop request={}", mId, e);
            }
        }
    }
}
