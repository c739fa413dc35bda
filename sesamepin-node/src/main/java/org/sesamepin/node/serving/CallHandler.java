package org.sesamepin.node.serving;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.error.Execution;
import org.sesamepin.core.error.Step;
import org.sesamepin.core.prompt.PromptQuarantine;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.serving.RouteKind;
import org.sesamepin.core.serving.ServiceShare;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.serving.ServingRoute;
import org.sesamepin.node.http.BodyReader;
import org.sesamepin.node.http.Problem;
import org.sesamepin.node.http.ProblemType;
import org.sesamepin.node.limit.Admission;
import org.sesamepin.node.prompt.QuarantineProblems;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the calls of callers: reads the body, finds the route, checks the customer's key and
 * rate, and starts the exchange with a target. Confined to the event loop.
 */
public final class CallHandler {
    private static final Logger LOG = LoggerFactory.getLogger(CallHandler.class);
    private static final long NOT_READY_RETRY_MS = 500;

    /** Time after which a caller may try another host, when only this one stops. */
    private static final long STOPPING_RETRY_MS = 50;

    private final ServingContext mContext;
    private final JobSubmissionHandler mJobSubmissions;
    private int mRunningCalls;

    /** Creates a handler that forwards batch submissions to {@code jobSubmissions}. */
    public CallHandler(ServingContext context, JobSubmissionHandler jobSubmissions) {
        mContext = context;
        mJobSubmissions = jobSubmissions;
    }

    /** Returns the number of calls whose exchange has not ended yet. */
    public int runningCalls() {
        return mRunningCalls;
    }

    /** Returns how long the head of a call may take to arrive, milliseconds. */
    public long headTimeoutMs() {
        return mContext.state().config().connectionLimits().headerTimeoutMs();
    }

    /** Handles one call; an error of this host is sent as a problem response. */
    public void handle(HttpServerRequest request, CallHead head) {
        long arrivedAt = mContext.loopLag().earliestArrival();
        request.pause();
        ServingConfig config = mContext.state().config();
        BodyReader.read(
                        mContext.vertx(),
                        request,
                        config.connectionLimits().maxBodyBytes(),
                        config.connectionLimits().idleTimeoutMs(),
                        () -> checkHead(head))
                .onSuccess(body -> run(request, head, () -> onBody(request, head, body, arrivedAt)))
                .onFailure(e -> sendProblem(request, head, Problem.of(e)));
    }

    /**
     * Rejects a call of which its head tells that it cannot be served. All is checked again once
     * the body has arrived: a key may be withdrawn in the meantime.
     */
    private void checkHead(CallHead head) throws Problem {
        ServingRoute route = findRoute(head);
        findCustomer(head, route);
        checkTimeLeft(head, route);
    }

    /** Runs a step of a call; a failure that the step does not expect is sent as a problem. */
    private void run(HttpServerRequest request, CallHead head, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("step=call request={} outcome=unexpected-failure", head.id(), e);
            sendProblem(request, head, Problem.of(e));
        }
    }

    private void onBody(HttpServerRequest request, CallHead headOnly, Buffer body, long arrivedAt) {
        try {
            ServingRoute route = findRoute(headOnly);
            CustomerSpec customer = findCustomer(headOnly, route);
            if (route.kind() == RouteKind.BATCH && customer != null) {
                mJobSubmissions.submit(request, headOnly, body, route, customer);
                return;
            }
            checkTimeLeft(headOnly, route);
            CallHead head = withContent(headOnly, customer, body);
            checkPrompt(head, route);
            if (customer == null) {
                startExchange(request, head, body, route, null, arrivedAt);
                return;
            }
            mContext.rateLimiter()
                    .admit(customer, route.latencyObjectiveMs())
                    .onSuccess(
                            admission -> {
                                if (admission.admitted()) {
                                    run(
                                            request,
                                            head,
                                            () ->
                                                    startExchange(
                                                            request, head, body, route, customer,
                                                            arrivedAt));
                                } else {
                                    rejectOverRate(request, head, customer, admission);
                                }
                            })
                    .onFailure(e -> sendProblem(request, head, Problem.of(e)));
        } catch (Problem e) {
            sendProblem(request, headOnly, e);
        }
    }

    private static CallHead withContent(
            CallHead head, @Nullable CustomerSpec customer, Buffer body) {
        String name = customer == null ? "" : customer.name();
        return head.withPrompt(head.prompt().withContent(name, head.uri(), body.getBytes()));
    }

    private ServingRoute findRoute(CallHead head) throws Problem {
        ServingConfig config = mContext.state().config();
        if (!config.isKnown()) {
            throw notReady("this host has not read a configuration yet", NOT_READY_RETRY_MS);
        }
        ServingRoute route = config.findRoute(head.host(), head.path());
        if (route == null) {
            throw new Problem(ProblemType.NOT_FOUND, Step.ROUTE, "no route matches this path");
        }
        return route;
    }

    /**
     * Rejects a request that no service of the route may get, before it counts against the
     * customer's rate.
     */
    private void checkPrompt(CallHead head, ServingRoute route) throws Problem {
        if (!mContext.promptGuard().isLoaded()) {
            throw notReady(
                    "this host has not read the quarantine of prompts yet", NOT_READY_RETRY_MS);
        }
        Problem problem = null;
        for (ServiceShare share : route.shares()) {
            PromptQuarantine.Entry entry =
                    mContext.promptGuard().blocking(share.service(), head.prompt(), head.id());
            if (entry == null) {
                return;
            }
            problem = QuarantineProblems.notRun(share.service(), entry);
        }
        if (problem != null) {
            throw problem;
        }
    }

    /** Rejects a request that may still run when this process stops; another host can take it. */
    private void checkTimeLeft(CallHead head, ServingRoute route) throws Problem {
        long budgetNanos = TimeUnit.MILLISECONDS.toNanos(CallLimits.budgetMs(head, route));
        if (!mContext.state().canFinish(mContext.ticker().nanoTime(), budgetNanos)) {
            throw notReady(
                    "this host stops before the request is certain to end", STOPPING_RETRY_MS);
        }
    }

    private static Problem notReady(String detail, long retryMs) {
        return new Problem(
                ProblemType.NOT_READY,
                Step.ROUTE,
                "node",
                Execution.NOT_RUN,
                detail,
                retryMs,
                null);
    }

    private @Nullable CustomerSpec findCustomer(CallHead head, ServingRoute route) throws Problem {
        ServingConfig config = mContext.state().config();
        if (route.open() || !config.requiresKeys()) {
            return null;
        }
        String key = head.key();
        CustomerSpec customer = key == null ? null : config.customerByKey(key);
        if (customer == null) {
            String detail = key == null ? "the request has no key" : "the key is unknown";
            throw new Problem(ProblemType.KEY_REFUSED, Step.AUTHENTICATE, detail);
        }
        return customer;
    }

    /**
     * Authenticates a request about a job and returns its customer.
     *
     * @throws Problem when no configuration is known, or the request has no active key
     */
    public CustomerSpec authenticate(CallHead head) throws Problem {
        if (!mContext.state().config().isKnown()) {
            findRoute(head);
        }
        String key = head.key();
        CustomerSpec customer = key == null ? null : mContext.state().config().customerByKey(key);
        if (customer == null) {
            throw new Problem(
                    ProblemType.KEY_REFUSED, Step.AUTHENTICATE, "the request has no active key");
        }
        return customer;
    }

    private void startExchange(
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
        Exchange exchange =
                new Exchange(
                        mContext,
                        request,
                        head,
                        body,
                        route,
                        customer,
                        arrivedAt,
                        () -> mRunningCalls--);
        mRunningCalls++;
        exchange.start();
    }

    private void rejectOverRate(
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

    /** Sends an error response to the caller and logs it. */
    public void sendProblem(HttpServerRequest request, CallHead head, Problem problem) {
        LOG.info(
                "step={} request={} peer={} config_version={} outcome={} execution={}"
                        + " detail=\"{}\"",
                problem.step().label(),
                head.id(),
                problem.peer(),
                mContext.state().config().version(),
                problem.type().label(),
                problem.execution().label(),
                problem.getMessage());
        mContext.metrics().countRequest("-", problem.type().label());
        if (mContext.state().isDraining() && !request.response().headWritten()) {
            request.response().putHeader("Connection", "close");
        }
        mContext.protocol().sendProblem(request.response(), problem, head.id());
    }
}
