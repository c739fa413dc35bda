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
import org.sesamepin.core.limit.SharedRate;
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
 * Admits requests within the customers' rates: from this host's share, then with tokens that other
 * hosts lend. Confined to the event loop.
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
        private final SharedRate mRate;
        private @Nullable Future<Double> mPendingLoan;
        private long mRejectUntil;

        CustomerRate(double burst, long now) {
            mRate = new SharedRate(burst, now);
            mRejectUntil = now;
        }
    }

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mPeerClient;
    private final Map<String, CustomerRate> mRatesByCustomer = new HashMap<>();

    /** Creates a desk whose buckets are empty. */
    public CustomerRateLimiter(
            Ticker ticker, ServingState state, PeerTable peers, PeerClient client) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mPeerClient = client;
    }

    /** Lets the buckets of all customers fill, also of those that send nothing yet. */
    public void refillAll() {
        mState.config().customers().values().forEach(this::refill);
    }

    /** Decides about one request of {@code customer}. */
    public Future<Admission> admit(CustomerSpec customer) {
        if (!customer.isLimited()) {
            return Future.succeededFuture(UNLIMITED);
        }
        CustomerRate entry = refill(customer);
        if (entry.mRate.take()) {
            return Future.succeededFuture(FROM_SHARE);
        }
        if (mTicker.nanoTime() - entry.mRejectUntil < 0 || mPeers.reachable().isEmpty()) {
            return Future.succeededFuture(reject(customer, entry));
        }
        List<PeerTable.Peer> lenders = new ArrayList<>(mPeers.reachable());
        Collections.shuffle(lenders);
        return borrowAndTake(customer, entry, lenders);
    }

    /** Asks a few hosts after the other until one of them has lent a token. */
    private Future<Admission> borrowAndTake(
            CustomerSpec customer, CustomerRate entry, List<PeerTable.Peer> lenders) {
        int count = Math.min(MAX_CONCURRENT_LENDERS, lenders.size());
        List<PeerTable.Peer> first = lenders.subList(0, count);
        List<PeerTable.Peer> rest = lenders.subList(count, lenders.size());
        return borrow(customer, entry, first)
                .compose(
                        lent -> {
                            refill(customer);
                            if (entry.mRate.take()) {
                                return Future.succeededFuture(FROM_LOAN);
                            }
                            return rest.isEmpty()
                                    ? Future.succeededFuture(rejectAfterLoans(customer, entry))
                                    : borrowAndTake(customer, entry, rest);
                        });
    }

    private Admission rejectAfterLoans(CustomerSpec customer, CustomerRate entry) {
        entry.mRejectUntil = mTicker.nanoTime() + REJECTION_CACHE_NANOS;
        return reject(customer, entry);
    }

    private Admission reject(CustomerSpec customer, CustomerRate entry) {
        long nanos = entry.mRate.nanosUntilToken(customer.ratePerS());
        return new Admission(false, Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos)), "rate");
    }

    private CustomerRate refill(CustomerSpec customer) {
        long now = mTicker.nanoTime();
        int sharers = mPeers.rateShareCount();
        double burst = customer.burst() / sharers;
        CustomerRate entry =
                mRatesByCustomer.computeIfAbsent(
                        customer.name(), name -> new CustomerRate(burst, now));
        entry.mRate.advance(customer.ratePerS() / sharers, burst, now);
        return entry;
    }

    private Future<Double> borrow(
            CustomerSpec customer, CustomerRate entry, List<PeerTable.Peer> lenders) {
        Future<Double> asking = entry.mPendingLoan;
        if (asking != null) {
            return asking;
        }
        int count = lenders.size();
        double share = customer.ratePerS() * LOAN_SECONDS / mPeers.rateShareCount();
        double wanted = 1 + share / count;
        List<Future<Double>> loans = new ArrayList<>();
        for (PeerTable.Peer lender : lenders) {
            loans.add(requestLoan(lender, customer.name(), wanted, entry));
        }
        Promise<Double> promise = Promise.promise();
        entry.mPendingLoan = promise.future();
        Future.join(loans)
                .onComplete(
                        done -> {
                            entry.mPendingLoan = null;
                            double total = 0;
                            for (Future<Double> loan : loans) {
                                total += loan.result();
                            }
                            LOG.info(
                                    "step=limit customer={} lenders={} wanted={} lent={}",
                                    customer.name(),
                                    count,
                                    wanted,
                                    total);
                            promise.complete(total);
                        });
        return promise.future();
    }

    private Future<Double> requestLoan(
            PeerTable.Peer lender, String customer, double wanted, CustomerRate entry) {
        PeerRequest request = PeerRequest.loan(new LoanRequest(customer, wanted));
        return mPeerClient
                .call(lender.address(), request, LOAN_TIMEOUT_MS)
                .map(
                        reply -> {
                            double lent = reply.getLoan().getLent();
                            entry.mRate.borrow(lent, mTicker.nanoTime());
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

    /** Answers a host that asks for tokens. */
    public PeerReply lend(LoanRequest request) {
        CustomerSpec customer = mState.config().customer(request.getCustomer());
        double lent = customer == null ? 0 : refill(customer).mRate.lend(request.getWanted());
        return PeerReply.loan(new LoanReply(lent));
    }
}
