package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.limit.GroupRates;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.limit.Admission;
import org.sesamepin.node.limit.GroupRateLimiter;
import org.sesamepin.node.limit.LoanRateLimiter;
import org.sesamepin.node.limit.OlderBuilds;
import org.sesamepin.node.limit.RateGroupSync;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.PeerServer;
import org.sesamepin.node.peer.generated.PeerRequest;

/**
 * Limits the request rate of each customer over all hosts: in a small fleet by shares and loans, in
 * a large one by rate groups. Confined to the event loop.
 */
public final class CustomerRateLimiter {
    private static final Admission UNLIMITED = new Admission(true, 0, "unlimited");

    private final Vertx mVertx;
    private final PeerTable mPeers;
    private final ServingMetrics mMetrics;
    private final LoanRateLimiter mLoans;
    private final GroupRateLimiter mGroups;
    private final RateGroupSync mGroupSync;

    /** Creates a limiter whose buckets are empty. */
    public CustomerRateLimiter(
            Vertx vertx,
            Ticker ticker,
            ServingState state,
            PeerTable peers,
            PeerClient peerClient,
            ServingMetrics metrics) {
        mVertx = vertx;
        mPeers = peers;
        mMetrics = metrics;
        // The wall clock puts the numbers above those of a former process of this host.
        long firstSequence = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
        GroupRates rates = new GroupRates(peers.self(), firstSequence);
        OlderBuilds olderBuilds = new OlderBuilds();
        mLoans = new LoanRateLimiter(ticker, state, peers, peerClient);
        mGroups =
                new GroupRateLimiter(vertx, ticker, peers, peerClient, rates, olderBuilds, mLoans);
        mGroupSync = new RateGroupSync(ticker, state, peers, peerClient, rates, olderBuilds);
    }

    /** Registers the handlers of messages and the gauge, and starts to ask for shares. */
    public void start(PeerServer server) {
        server.registerHandler(
                PeerRequest._Fields.LOAN,
                request -> {
                    mGroupSync.recordLoanUse(request.getLoan().getCustomer());
                    return Future.succeededFuture(mLoans.lend(request.getLoan()));
                });
        server.registerHandler(
                PeerRequest._Fields.SHARE_REQUEST,
                request ->
                        Future.succeededFuture(
                                mGroupSync.handleShareRequest(request.getShareRequest())));
        server.registerHandler(
                PeerRequest._Fields.ADMIT_REQUEST,
                request -> mGroups.handleAdmit(request.getAdmitRequest()));
        server.registerHandler(
                PeerRequest._Fields.RATE_HANDOVER,
                request ->
                        Future.succeededFuture(
                                mGroupSync.handleHandover(request.getRateHandover())));
        mMetrics.gauge(
                "sesamepin_rate_fraction",
                "Part of the customers' rates that this host admits from, in a large fleet.",
                mGroupSync::meanFraction);
        mVertx.setPeriodic(RateGroupSync.TICK_MS, t -> mGroupSync.tick());
    }

    /** Refills the buckets of all customers, including those that have not sent a request yet. */
    public void refillAll() {
        mLoans.refillAll();
    }

    /**
     * Admits or rejects one request of {@code customer}.
     *
     * @param latencyObjectiveMs latency objective of the request's route, milliseconds; 0 if none
     */
    public Future<Admission> admit(CustomerSpec customer, long latencyObjectiveMs) {
        if (!customer.isLimited()) {
            return Future.succeededFuture(UNLIMITED);
        }
        return decide(customer, latencyObjectiveMs).onSuccess(mMetrics::countAdmission);
    }

    private Future<Admission> decide(CustomerSpec customer, long latencyObjectiveMs) {
        if (mPeers.isLargeFleet()) {
            mGroupSync.updateIfChanged();
            return mGroups.admit(customer, latencyObjectiveMs);
        }
        mGroupSync.recordLoanUse(customer.name());
        return mLoans.admit(customer);
    }

    /** Hands over what other hosts can use, since this process is about to stop. */
    public Future<Void> handOver() {
        return mGroupSync.handOver();
    }
}
