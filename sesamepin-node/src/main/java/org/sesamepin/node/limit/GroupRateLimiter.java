package org.sesamepin.node.limit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.limit.AdmissionAttempt;
import org.sesamepin.core.limit.GroupRates;
import org.sesamepin.core.limit.HolderAvoidance;
import org.sesamepin.core.limit.RateDecision;
import org.sesamepin.core.limit.RateGroupMember;
import org.sesamepin.core.limit.RecentRefusals;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerFailureException;
import org.sesamepin.node.peer.generated.AdmitReply;
import org.sesamepin.node.peer.generated.AdmitRequest;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.PeerTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the request rate of each customer in a large fleet: asks the leader of the customer's rate
 * group to admit each request, or admits it itself when this host is the leader. Confined to the
 * event loop.
 */
public final class GroupRateLimiter {
    private static final Logger LOG = LoggerFactory.getLogger(GroupRateLimiter.class);
    private static final long RELAY_TIMEOUT_MS = 120;
    private static final long UNKNOWN_CUSTOMER_RETRY_MS = 1_000;

    private static final Admission FROM_LEADER = new Admission(true, 0, "leader");
    private static final Admission FROM_ASKED = new Admission(true, 0, "asked");
    private static final Admission FROM_SHARE = new Admission(true, 0, "own-share");

    private final Vertx mVertx;
    private final Ticker mTicker;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final GroupRates mRates;
    private final OlderBuilds mOlderBuilds;
    private final LoanRateLimiter mLoans;
    private final HolderAvoidance mAvoidance = new HolderAvoidance();
    private final RecentRefusals mRefusals = new RecentRefusals();

    /**
     * Creates a limiter.
     *
     * @param rates this host's part in the rate groups, kept up to date by {@link RateGroupSync}
     * @param olderBuilds holders that do not know rate groups
     * @param loans limiter that is used while a holder does not know rate groups
     */
    public GroupRateLimiter(
            Vertx vertx,
            Ticker ticker,
            PeerTable peers,
            PeerClient peerClient,
            GroupRates rates,
            OlderBuilds olderBuilds,
            LoanRateLimiter loans) {
        mVertx = vertx;
        mTicker = ticker;
        mPeers = peers;
        mPeerClient = peerClient;
        mRates = rates;
        mOlderBuilds = olderBuilds;
        mLoans = loans;
    }

    /**
     * Admits or rejects one request of {@code customer}, whose rate is limited.
     *
     * @param latencyObjectiveMs latency objective of the request's route, milliseconds; 0 if none
     */
    public Future<Admission> admit(CustomerSpec customer, long latencyObjectiveMs) {
        long now = mTicker.nanoTime();
        List<String> hosts = mRates.hostsToAsk(customer.name(), this::isReachable, now);
        if (mOlderBuilds.containsAny(hosts, now)) {
            return mLoans.admit(customer);
        }
        long remainingNanos = mRefusals.remainingNanos(customer.name(), now);
        if (remainingNanos > 0) {
            return Future.succeededFuture(rejection(spread(remainingNanos), "rate"));
        }
        long objectiveNanos = TimeUnit.MILLISECONDS.toNanos(latencyObjectiveMs);
        return ask(customer, new AdmissionAttempt(hosts, objectiveNanos, now));
    }

    private boolean isReachable(String host) {
        return mPeers.find(host) != null && !mAvoidance.isAvoided(host, mTicker.nanoTime());
    }

    private Future<Admission> ask(CustomerSpec customer, AdmissionAttempt attempt) {
        String host = attempt.host();
        if (host == null) {
            LOG.info("step=limit customer={} outcome=no-holder-answers", customer.name());
            return Future.succeededFuture(rejection(attempt.retryAfterNanos(), "no-holder"));
        }
        if (host.equals(mPeers.self())) {
            return decideHere(customer, attempt);
        }
        PeerTable.Peer peer = mPeers.findRegistered(host);
        if (peer == null) {
            attempt.onNoAnswer(mTicker.nanoTime());
            return ask(customer, attempt);
        }
        long timeoutMs = TimeUnit.NANOSECONDS.toMillis(attempt.timeoutNanos(mTicker.nanoTime()));
        return mPeerClient
                .call(
                        peer.address(),
                        PeerRequest.admitRequest(new AdmitRequest(customer.name())),
                        timeoutMs)
                .transform(
                        done ->
                                done.succeeded()
                                        ? onReply(
                                                customer,
                                                attempt,
                                                host,
                                                done.result().getAdmitReply())
                                        : onNoAnswer(customer, attempt, host, done.cause()));
    }

    private Future<Admission> decideHere(CustomerSpec customer, AdmissionAttempt attempt) {
        RateGroupMember member = mRates.memberOf(customer.name());
        RateDecision decision = decide(customer.name());
        if (decision.admitted()) {
            boolean leads = member != null && member.isLeading();
            return Future.succeededFuture(leads ? FROM_LEADER : FROM_SHARE);
        }
        return onRefusal(
                customer, attempt, spread(decision.nanosUntilToken()), decision.recovering());
    }

    private RateDecision decide(String customer) {
        RateGroupMember member = mRates.memberOf(customer);
        return member == null
                ? new RateDecision(
                        false, TimeUnit.MILLISECONDS.toNanos(UNKNOWN_CUSTOMER_RETRY_MS), true)
                : member.admit(customer, mTicker.nanoTime());
    }

    private Future<Admission> onReply(
            CustomerSpec customer, AdmissionAttempt attempt, String host, AdmitReply reply) {
        mAvoidance.recordAnswer(host);
        return reply.isAdmitted()
                ? Future.succeededFuture(FROM_ASKED)
                : onRefusal(
                        customer,
                        attempt,
                        TimeUnit.MILLISECONDS.toNanos(reply.getRetryAfterMs()),
                        reply.isRecovering());
    }

    private Future<Admission> onNoAnswer(
            CustomerSpec customer, AdmissionAttempt attempt, String host, Throwable cause) {
        long now = mTicker.nanoTime();
        if (cause instanceof PeerFailureException) {
            mOlderBuilds.recordRefusedAdmission(host, now);
            return mLoans.admit(customer);
        }
        mAvoidance.recordNoAnswer(host, now);
        LOG.info(
                "step=limit customer={} holder={} outcome=no-answer cause={}",
                customer.name(),
                host,
                cause.getMessage());
        attempt.onNoAnswer(now);
        return ask(customer, attempt);
    }

    private Future<Admission> onRefusal(
            CustomerSpec customer,
            AdmissionAttempt attempt,
            long retryAfterNanos,
            boolean recovering) {
        long now = mTicker.nanoTime();
        if (attempt.onRefusal(retryAfterNanos, recovering, now)) {
            Promise<Admission> promise = Promise.promise();
            mVertx.setTimer(
                    TimeUnit.NANOSECONDS.toMillis(AdmissionAttempt.RECOVERY_PAUSE_NANOS),
                    t -> ask(customer, attempt).onComplete(promise));
            return promise.future();
        }
        if (recovering) {
            LOG.info("step=limit customer={} outcome=recovering", customer.name());
        } else {
            mRefusals.record(customer.name(), retryAfterNanos, now);
        }
        return Future.succeededFuture(rejection(retryAfterNanos, "rate"));
    }

    private static Admission rejection(long retryAfterNanos, String reason) {
        long ms = TimeUnit.NANOSECONDS.toMillis(retryAfterNanos);
        return new Admission(false, Math.max(1, ms), reason);
    }

    /** Adds up to as much again, so that callers refused together do not return together. */
    private static long spread(long nanos) {
        return nanos + (long) (ThreadLocalRandom.current().nextDouble() * nanos);
    }

    /**
     * Handles the request of another host to admit a request. Fails while a holder does not know
     * rate groups, so that the asking host uses loans.
     */
    public Future<PeerReply> handleAdmit(AdmitRequest request) {
        long now = mTicker.nanoTime();
        if (mOlderBuilds.isAnyHolder(now)) {
            return Future.failedFuture("a holder does not know rate groups");
        }
        String customer = request.getCustomer();
        RateDecision decision = decide(customer);
        PeerTable.Peer relay =
                !decision.admitted() && decision.recovering() && !request.isRelayed()
                        ? relayTarget(customer, now)
                        : null;
        if (relay == null) {
            return Future.succeededFuture(reply(decision));
        }
        PeerRequest relayed = PeerRequest.admitRequest(new AdmitRequest(customer).setRelayed(true));
        return mPeerClient
                .call(relay.address(), relayed, RELAY_TIMEOUT_MS)
                .otherwise(e -> reply(decision));
    }

    private PeerTable.@Nullable Peer relayTarget(String customer, long now) {
        RateGroupMember member = mRates.memberOf(customer);
        String host = member == null ? null : member.relayTarget(this::isReachable, now);
        return host == null ? null : mPeers.findRegistered(host);
    }

    private static PeerReply reply(RateDecision decision) {
        long retryAfterMs =
                decision.admitted()
                        ? 0
                        : rejection(spread(decision.nanosUntilToken()), "rate").retryAfterMs();
        return PeerReply.admitReply(
                new AdmitReply(decision.admitted(), retryAfterMs, decision.recovering()));
    }
}
