package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.http.BodyReader;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.limit.Admission;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes in calls: reads the body, finds the route, checks the key and the rate, and starts the
 * exchange. Confined to the event loop.
 */
public final class CallHandler {
    private static final Logger LOG = LoggerFactory.getLogger(CallHandler.class);
    private static final long UNKNOWN_CONFIG_RETRY_MS = 500;

    private final ServingContext mNode;
    private final JobSubmissionHandler mJobs;
    private int mRunning;

    /** Creates a handler that passes batch submissions to {@code jobs}. */
    public CallHandler(ServingContext node, JobSubmissionHandler jobs) {
        mNode = node;
        mJobs = jobs;
    }

    /** Returns the number of calls that are not answered yet. */
    public int running() {
        return mRunning;
    }

    /** Returns how long the head of a call may take to arrive, milliseconds. */
    public long headTimeoutMs() {
        return mNode.state().config().connectionLimits().headerTimeoutMs();
    }

    /** Answers one call. */
    public void handle(HttpServerRequest request, CallHead head) {
        long arrivedAt = mNode.ticker().nanoTime();
        request.pause();
        ServingConfig config = mNode.state().config();
        BodyReader.read(
                        mNode.vertx(),
                        request,
                        config.connectionLimits().maxBodyBytes(),
                        config.connectionLimits().idleTimeoutMs())
                .onSuccess(body -> received(request, head, body, arrivedAt))
                .onFailure(e -> sendProblem(request, head, Problem.of(e)));
    }

    private void received(HttpServerRequest request, CallHead head, Buffer body, long arrivedAt) {
        try {
            ServingRoute route = route(head);
            CustomerSpec customer = customer(head, route);
            if (route.kind() == RouteKind.BATCH && customer != null) {
                mJobs.submit(request, head, body, route, customer);
                return;
            }
            if (customer == null) {
                start(request, head, body, route, null, arrivedAt);
                return;
            }
            mNode.rateLimiter()
                    .admit(customer)
                    .onSuccess(
                            admission -> {
                                if (admission.admitted()) {
                                    start(request, head, body, route, customer, arrivedAt);
                                } else {
                                    overRate(request, head, customer, admission);
                                }
                            })
                    .onFailure(e -> sendProblem(request, head, Problem.of(e)));
        } catch (Problem e) {
            sendProblem(request, head, e);
        }
    }

    private ServingRoute route(CallHead head) throws Problem {
        ServingConfig config = mNode.state().config();
        if (!config.isKnown()) {
            throw new Problem(
                    ProblemType.NOT_READY,
                    Step.ROUTE,
                    "node",
                    Execution.NOT_RUN,
                    "no configuration is known yet",
                    UNKNOWN_CONFIG_RETRY_MS,
                    null);
        }
        ServingRoute route = config.findRoute(head.host(), head.path());
        if (route == null) {
            throw new Problem(ProblemType.NOT_FOUND, Step.ROUTE, "no route for this path");
        }
        return route;
    }

    private @Nullable CustomerSpec customer(CallHead head, ServingRoute route) throws Problem {
        ServingConfig config = mNode.state().config();
        if (route.open() || !config.requiresKeys()) {
            return null;
        }
        String key = head.key();
        CustomerSpec customer = key == null ? null : config.customerByKey(key);
        if (customer == null) {
            String detail = key == null ? "no key" : "unknown key";
            throw new Problem(ProblemType.KEY_REFUSED, Step.AUTHENTICATE, detail);
        }
        return customer;
    }

    /** Returns the customer of a request about a job; fails without a key that is in force. */
    public CustomerSpec authenticate(CallHead head) throws Problem {
        if (!mNode.state().config().isKnown()) {
            route(head);
        }
        String key = head.key();
        CustomerSpec customer = key == null ? null : mNode.state().config().customerByKey(key);
        if (customer == null) {
            throw new Problem(ProblemType.KEY_REFUSED, Step.AUTHENTICATE, "no key in force");
        }
        return customer;
    }

    private void start(
            HttpServerRequest request,
            CallHead head,
            Buffer body,
            ServingRoute route,
            @Nullable CustomerSpec customer,
            long arrivedAt) {
        if (request.response().closed()) {
            LOG.info("step=end request={} outcome=caller-left-before-start", head.id());
            return;
        }
        mRunning++;
        new Exchange(mNode, request, head, body, route, customer, arrivedAt, () -> mRunning--)
                .start();
    }

    private void overRate(
            HttpServerRequest request, CallHead head, CustomerSpec customer, Admission admission) {
        sendProblem(
                request,
                head,
                new Problem(
                        ProblemType.RATE_EXCEEDED,
                        Step.LIMIT,
                        customer.name(),
                        Execution.NOT_RUN,
                        "rate " + customer.ratePerS() + "/s, burst " + customer.burst(),
                        admission.retryAfterMs(),
                        null));
    }

    /** Answers a call with an error and logs it. */
    public void sendProblem(HttpServerRequest request, CallHead head, Problem problem) {
        LOG.info(
                "step={} request={} peer={} config_version={} outcome={} execution={}"
                        + " detail=\"{}\"",
                problem.step().label(),
                head.id(),
                problem.peer(),
                mNode.state().config().version(),
                problem.type().label(),
                problem.execution().label(),
                problem.getMessage());
        mNode.metrics().answered("-", problem.type().label());
        if (mNode.state().isDraining() && !request.response().headWritten()) {
            request.response().putHeader("Connection", "close");
        }
        mNode.protocol().sendProblem(request.response(), problem, head.id());
    }
}
