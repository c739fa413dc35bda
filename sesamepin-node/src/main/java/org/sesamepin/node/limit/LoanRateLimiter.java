package org.sesamepin.node.limit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.limit.DemandMeter;
import org.sesamepin.core.limit.LendingTokenBucket;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.LoanReply;
import org.sesamepin.node.peer.generated.LoanRequest;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.sesamepin.node.serving.PeerTable;
import org.sesamepin.node.serving.ServingState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the request rate of each customer in a small fleet: admits requests from this host's share
 * of the rate, then with tokens that other hosts lend. Confined to the event loop.
 */
public final class LoanRateLimiter {
    private static final Logger LOG = LoggerFactory.getLogger(LoanRateLimiter.class);

    /** Time for a loan; one that arrives after the request was decided serves later requests. */
    private static final long LOAN_TIMEOUT_MS = 600;

    /** Longest time for which a request waits for the loans of the hosts that are asked at once. */
    private static final long LOAN_WAIT_MS = 150;

    /** Longest time for which a request waits for loans in all. */
    private static final long MAX_LOAN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long REJECTION_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final int MAX_CONCURRENT_LENDERS = 4;

    /** Demand for which a loan is to last, seconds. */
    private static final double LOAN_SECONDS = 0.25;

    private static final Admission FROM_SHARE = new Admission(true, 0, "own-share");
    private static final Admission FROM_LOAN = new Admission(true, 0, "lent");

    private static final class CustomerRate {
        private final LendingTokenBucket mBucket;
        private final DemandMeter mDemand;
        private @Nullable Future<Double> mPendingLoan;
        private long mRejectUntil;

        CustomerRate(double burstShare, long now) {
            mBucket = new LendingTokenBucket(burstShare, now);
            mRejectUntil = now;
            mDemand = new DemandMeter(now);
        }
    }

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final RateHolders mHolders;
    private final PeerClient mPeerClient;
    private final Map<String, CustomerRate> mRatesByCustomer = new HashMap<>();

    /** Creates a limiter whose buckets are empty. */
    public LoanRateLimiter(
            Ticker ticker, ServingState state, PeerTable peers, PeerClient peerClient) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mHolders = new RateHolders(peers);
        mPeerClient = peerClient;
    }

    /** Refills the buckets of all customers, including those that have not sent a request yet. */
    public void refillAll() {
        mState.config().customers().values().forEach(this::refill);
    }

    /** Admits or rejects one request of {@code customer}, whose rate is limited. */
    public Future<Admission> admit(CustomerSpec customer) {
        CustomerRate customerRate = refill(customer);
        customerRate.mDemand.count(1, mTicker.nanoTime());
        if (customerRate.mBucket.take()) {
            return Future.succeededFuture(FROM_SHARE);
        }
        boolean rejectedLately = mTicker.nanoTime() - customerRate.mRejectUntil < 0;
        List<PeerTable.Peer> lenders = rejectedLately ? List.of() : lendersOf(customer);
        if (lenders.isEmpty()) {
            return Future.succeededFuture(reject(customer, customerRate));
        }
        return borrowAndTake(customer, customerRate, lenders, mTicker.nanoTime());
    }

    /** Returns the reachable peers that have a share of the customer's rate, in random order. */
    private List<PeerTable.Peer> lendersOf(CustomerSpec customer) {
        List<PeerTable.Peer> lenders = new ArrayList<>();
        for (String holder : mHolders.holdersOf(customer.name())) {
            PeerTable.Peer peer = mPeers.find(holder);
            if (peer != null) {
                lenders.add(peer);
            }
        }
        Collections.shuffle(lenders);
        return lenders;
    }

    /**
     * Requests loans from a few hosts at a time until a token is available, no lender remains, or
     * the request has waited long enough.
     *
     * @param startedAt when the first loans were requested, a reading of the monotonic clock in
     *     nanoseconds
     */
    private Future<Admission> borrowAndTake(
            CustomerSpec customer,
            CustomerRate customerRate,
            List<PeerTable.Peer> lenders,
            long startedAt) {
        int count = Math.min(MAX_CONCURRENT_LENDERS, lenders.size());
        List<PeerTable.Peer> current = lenders.subList(0, count);
        List<PeerTable.Peer> remaining = lenders.subList(count, lenders.size());
        return borrow(customer, customerRate, current)
                .compose(
                        lent -> {
                            refill(customer);
                            if (customerRate.mBucket.take()) {
                                return Future.succeededFuture(FROM_LOAN);
                            }
                            long waitedNanos = mTicker.nanoTime() - startedAt;
                            return remaining.isEmpty() || waitedNanos >= MAX_LOAN_WAIT_NANOS
                                    ? Future.succeededFuture(
                                            rejectAfterLoans(customer, customerRate))
                                    : borrowAndTake(customer, customerRate, remaining, startedAt);
                        });
    }

    private Admission rejectAfterLoans(CustomerSpec customer, CustomerRate customerRate) {
        customerRate.mRejectUntil = mTicker.nanoTime() + REJECTION_CACHE_NANOS;
        return reject(customer, customerRate);
    }

    private Admission reject(CustomerSpec customer, CustomerRate customerRate) {
        long nanos = customerRate.mBucket.nanosUntilToken(customer.ratePerS());
        return new Admission(false, Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos)), "rate");
    }

    private CustomerRate refill(CustomerSpec customer) {
        long now = mTicker.nanoTime();
        double fraction = shareFraction(customer);
        double burstShare = customer.burst() * fraction;
        CustomerRate customerRate =
                mRatesByCustomer.computeIfAbsent(
                        customer.name(), name -> new CustomerRate(burstShare, now));
        customerRate.mBucket.refill(customer.ratePerS() * fraction, burstShare, now);
        return customerRate;
    }

    /** Returns this host's part of the customer's rate, from 0 to 1. */
    private double shareFraction(CustomerSpec customer) {
        Set<String> holders = mHolders.holdersOf(customer.name());
        return holders.contains(mPeers.self()) ? 1.0 / holders.size() : 0;
    }

    private Future<Double> borrow(
            CustomerSpec customer, CustomerRate customerRate, List<PeerTable.Peer> lenders) {
        Future<Double> pending = customerRate.mPendingLoan;
        if (pending != null) {
            return pending;
        }
        int count = lenders.size();
        double demandPerS = customerRate.mDemand.tokensPerSecond(mTicker.nanoTime());
        double wanted = 1 + demandPerS * LOAN_SECONDS / count;
        List<Future<Double>> loans = new ArrayList<>();
        for (PeerTable.Peer lender : lenders) {
            loans.add(requestLoan(lender, customer.name(), wanted, customerRate));
        }
        Promise<Double> promise = Promise.promise();
        customerRate.mPendingLoan = promise.future();
        Future.join(loans)
                .timeout(LOAN_WAIT_MS, TimeUnit.MILLISECONDS)
                .onComplete(
                        done -> {
                            customerRate.mPendingLoan = null;
                            double totalLent = 0;
                            for (Future<Double> loan : loans) {
                                totalLent += loan.succeeded() ? loan.result() : 0;
                            }
                            LOG.info(
                                    "step=limit customer={} lenders={} wanted={} lent={}",
                                    customer.name(),
                                    count,
                                    wanted,
                                    totalLent);
                            promise.complete(totalLent);
                        });
        return promise.future();
    }

    private Future<Double> requestLoan(
            PeerTable.Peer lender, String customer, double wanted, CustomerRate customerRate) {
        PeerRequest request = PeerRequest.loan(new LoanRequest(customer, wanted));
        return mPeerClient
                .call(lender.address(), request, LOAN_TIMEOUT_MS)
                .map(
                        reply -> {
                            double lent = reply.getLoan().getLent();
                            customerRate.mBucket.addLoan(lent, mTicker.nanoTime());
                            return lent;
                        })
                .otherwise(
                        e -> {
                            mPeers.recordNoAnswer(lender.name());
                            LOG.info(
                                    "step=limit customer={} lender={} outcome=no-answer cause={}",
                                    customer,
                                    lender.name(),
                                    e.getMessage());
                            return 0.0;
                        });
    }

    /** Handles the request of another host for a loan of tokens. */
    public PeerReply lend(LoanRequest request) {
        CustomerSpec customer = mState.config().customer(request.getCustomer());
        double lent = customer == null ? 0 : refill(customer).mBucket.lend(request.getWanted());
        return PeerReply.loan(new LoanReply(lent));
    }
}
