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
 * Admits requests within the customers' rates: from this host's share, then with tokens that other
 * hosts lend. Confined to the event loop.
 */
public final class RateDesk {
    private static final Logger LOG = LoggerFactory.getLogger(RateDesk.class);
    private static final long ASK_TIMEOUT_MS = 120;
    private static final long REFUSAL_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final int MAX_LENDERS = 3;
    private static final double LOAN_SECONDS = 0.25;
    private static final Admission FROM_SHARE = new Admission(true, 0, "own-share");
    private static final Admission FROM_LOAN = new Admission(true, 0, "lent");
    private static final Admission UNLIMITED = new Admission(true, 0, "unlimited");

    private static final class Entry {
        private final LendingTokenBucket mRate;
        private @Nullable Future<Double> mAsking;
        private long mRefusedUntil;

        Entry(double burst, long now) {
            mRate = new LendingTokenBucket(burst, now);
            mRefusedUntil = now;
        }
    }

    private final Ticker mTicker;
    private final ServingState mState;
    private final PeerTable mPeers;
    private final PeerClient mClient;
    private final Map<String, Entry> mEntries = new HashMap<>();

    /** Creates a desk whose buckets are empty. */
    public RateDesk(Ticker ticker, ServingState state, PeerTable peers, PeerClient client) {
        mTicker = ticker;
        mState = state;
        mPeers = peers;
        mClient = client;
    }

    /** Lets the buckets of all customers fill, also of those that send nothing yet. */
    public void refresh() {
        mState.config().customers().values().forEach(this::advanced);
    }

    /** Decides about one request of {@code customer}. */
    public Future<Admission> admit(CustomerSpec customer) {
        if (!customer.isLimited()) {
            return Future.succeededFuture(UNLIMITED);
        }
        Entry entry = advanced(customer);
        if (entry.mRate.take()) {
            return Future.succeededFuture(FROM_SHARE);
        }
        if (mTicker.nanoTime() - entry.mRefusedUntil < 0 || mPeers.reachable().isEmpty()) {
            return Future.succeededFuture(refused(customer, entry));
        }
        List<PeerTable.Peer> lenders = new ArrayList<>(mPeers.reachable());
        Collections.shuffle(lenders);
        return borrowAndTake(customer, entry, lenders);
    }

    /** Asks a few hosts after the other until one of them has lent a token. */
    private Future<Admission> borrowAndTake(
            CustomerSpec customer, Entry entry, List<PeerTable.Peer> lenders) {
        int count = Math.min(MAX_LENDERS, lenders.size());
        List<PeerTable.Peer> first = lenders.subList(0, count);
        List<PeerTable.Peer> rest = lenders.subList(count, lenders.size());
        return borrow(customer, entry, first)
                .compose(
                        lent -> {
                            advanced(customer);
                            if (entry.mRate.take()) {
                                return Future.succeededFuture(FROM_LOAN);
                            }
                            return rest.isEmpty()
                                    ? Future.succeededFuture(afterLoans(customer, entry))
                                    : borrowAndTake(customer, entry, rest);
                        });
    }

    private Admission afterLoans(CustomerSpec customer, Entry entry) {
        entry.mRefusedUntil = mTicker.nanoTime() + REFUSAL_CACHE_NANOS;
        return refused(customer, entry);
    }

    private Admission refused(CustomerSpec customer, Entry entry) {
        long nanos = entry.mRate.nanosUntilToken(customer.ratePerS());
        return new Admission(false, Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos)), "rate");
    }

    private Entry advanced(CustomerSpec customer) {
        long now = mTicker.nanoTime();
        int sharers = mPeers.sharers();
        double burst = customer.burst() / sharers;
        Entry entry = mEntries.computeIfAbsent(customer.name(), name -> new Entry(burst, now));
        entry.mRate.refill(customer.ratePerS() / sharers, burst, now);
        return entry;
    }

    private Future<Double> borrow(
            CustomerSpec customer, Entry entry, List<PeerTable.Peer> lenders) {
        Future<Double> asking = entry.mAsking;
        if (asking != null) {
            return asking;
        }
        int count = lenders.size();
        double share = customer.ratePerS() * LOAN_SECONDS / mPeers.sharers();
        double wanted = 1 + share / count;
        List<Future<Double>> loans = new ArrayList<>();
        for (PeerTable.Peer lender : lenders) {
            loans.add(ask(lender, customer.name(), wanted, entry));
        }
        Promise<Double> promise = Promise.promise();
        entry.mAsking = promise.future();
        Future.join(loans)
                .onComplete(
                        done -> {
                            entry.mAsking = null;
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

    private Future<Double> ask(PeerTable.Peer lender, String customer, double wanted, Entry entry) {
        PeerRequest request = PeerRequest.loan(new LoanRequest(customer, wanted));
        return mClient.call(lender.address(), request, ASK_TIMEOUT_MS)
                .map(
                        reply -> {
                            double lent = reply.getLoan().getLent();
                            entry.mRate.addLoan(lent, mTicker.nanoTime());
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
        double lent = customer == null ? 0 : advanced(customer).mRate.lend(request.getWanted());
        return PeerReply.loan(new LoanReply(lent));
    }
}
