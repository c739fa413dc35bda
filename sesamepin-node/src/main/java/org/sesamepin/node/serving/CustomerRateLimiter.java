package org.sesamepin.node.serving;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.limit.LendingTokenBucket;
import org.sesamepin.core.serving.CustomerSpec;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.limit.Admission;
import org.sesamepin.node.peer.PeerClient;
import org.sesamepin.node.peer.generated.LoanReply;
import org.sesamepin.node.peer.generated.LoanRequest;
import org.sesamepin.node.peer.generated.PeerReply;
import org.sesamepin.node.peer.generated.PeerRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the request rate of each customer: admits requests from this host's share of the rate,
 * then with tokens that other hosts lend. Confined to the event loop.
 */
public final class CustomerRateLimiter {
    private static final Logger LOG = LoggerFactory.getLogger(CustomerRateLimiter.class);
    private static final long LOAN_TIMEOUT_MS = 120;
    private static final long REJECTION_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final int MAX_CONCURRENT_LENDERS = 3;
    private static final double LOAN_SECONDS = 0.25;
    private static final Admission FROM_SHARE = new Admission(true, 0, "own-share");
    private static final Admission FROM_LOAN = new Admission(true, 0, "lent");
    private static final Admission UNLIMITED = new Admission(true, 0, "unlimited");

    private static final class CustomerRate {
        private final LendingTokenBucket mBucket;
        private @Nullable Future<Double> mPendingLoan;
        private long mRejectUntil;

        CustomerRate(double burstShare, long now) {
            mBucket = new LendingTokenBucket(burstShare, now);
            mRejectUntil = now;
        }
    }

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final Map<String, CustomerRate> mRatesByCustomer = new HashMap<>();

    /** Creates a limiter whose buckets are empty. */
    public CustomerRateLimiter(
            Ticker ticker, ServingState state, PeerTable peers, PeerClient peerClient) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = peerClient;
    }

    /** Refills the buckets of all customers, including those that have not sent a request yet. */
    public void refillAll() {
        mState.config().customers().values().forEach(this::refill);
    }

    /** Admits or rejects one request of {@code customer}. */
    public Future<Admission> admit(CustomerSpec customer) {
        if (!customer.isLimited()) {
            return Future.succeededFuture(UNLIMITED);
        }
        CustomerRate customerRate = refill(customer);
        if (customerRate.mBucket.take()) {
            return Future.succeededFuture(FROM_SHARE);
        }
        if (mTicker.nanoTime() - customerRate.mRejectUntil < 0 || mPeers.reachable().isEmpty()) {
            return Future.succeededFuture(reject(customer, customerRate));
        }
        List<PeerTable.Peer> lenders = new ArrayList<>(mPeers.reachable());
        Collections.shuffle(lenders);
        return borrowAndTake(customer, customerRate, lenders);
    }

    /**
     * Requests loans from a few hosts at a time until a token is available or no lender remains.
     */
    private Future<Admission> borrowAndTake(
            CustomerSpec customer, CustomerRate customerRate, List<PeerTable.Peer> lenders) {
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
                            return remaining.isEmpty()
                                    ? Future.succeededFuture(
                                            rejectAfterLoans(customer, customerRate))
                                    : borrowAndTake(customer, customerRate, remaining);
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
        int shareCount = mPeers.rateShareCount();
        double burstShare = customer.burst() / shareCount;
        CustomerRate customerRate =
                mRatesByCustomer.computeIfAbsent(
                        customer.name(), name -> new CustomerRate(burstShare, now));
        customerRate.mBucket.refill(customer.ratePerS() / shareCount, burstShare, now);
        return customerRate;
    }

    private Future<Double> borrow(
            CustomerSpec customer, CustomerRate customerRate, List<PeerTable.Peer> lenders) {
        Future<Double> pending = customerRate.mPendingLoan;
        if (pending != null) {
            return pending;
        }
        int count = lenders.size();
        double share = customer.ratePerS() * LOAN_SECONDS / mPeers.rateShareCount();
        double wanted = 1 + share / count;
        List<Future<Double>> loans = new ArrayList<>();
        for (PeerTable.Peer lender : lenders) {
            loans.add(requestLoan(lender, customer.name(), wanted, customerRate));
        }
        Promise<Double> promise = Promise.promise();
        customerRate.mPendingLoan = promise.future();
        Future.join(loans)
                .onComplete(
                        done -> {
                            customerRate.mPendingLoan = null;
                            double totalLent = 0;
                            for (Future<Double> loan : loans) {
                                totalLent += loan.result();
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
