package org.sesamepin.core.limit;

import static org.sesamepin.core.membership.FleetTiming.withMargin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.Rendezvous;

/**
 * The shares of the customers' rates that hosts have delegated to this host as a coordinator.
 *
 * <p>Each customer has one coordinator among the live hosts, chosen by rendezvous hashing over the
 * view (the list of live hosts). A host delegates its share only to a coordinator that has the same
 * view, and only for a short time. The coordinator counts this time from before it sent its
 * request, so that the delegation expires here no later than at the delegating host. After a change
 * of the view, a host's delegation to the customer's former coordinator may still be valid. Its
 * share counts for that customer only after that delegation and the blocks granted under it have
 * expired.
 *
 * <p>Writers replace an immutable snapshot; readers on the request path take no lock.
 */
public final class DelegatedShares {
    /**
     * The share that one host has delegated without interruption.
     *
     * @param fraction the part of each rate that is delegated now
     * @param fractionRaisedAt time from which on {@code fraction} counts
     * @param fractionBeforeRaise the part that counts between {@code heldSince} and then
     * @param heldSince time from which on the share counts at all
     * @param expiresAt when the delegation expires unless it is renewed
     * @param view the view under which the host delegated its share
     * @param viewNumber number of that view at the delegating host
     * @param previousView the host's view before that; empty if it changed more than once recently
     * @param formerExpiries when delegations under former views have expired, by coordinator
     */
    private record DelegatedShare(
            double fraction,
            long fractionRaisedAt,
            double fractionBeforeRaise,
            long heldSince,
            long expiresAt,
            List<String> view,
            long viewNumber,
            List<String> previousView,
            Map<String, Long> formerExpiries) {
        double fractionSince(long start) {
            if (start - fractionRaisedAt >= 0) {
                return fraction;
            }
            return start - heldSince >= 0 ? fractionBeforeRaise : 0;
        }
    }

    private final String mSelf;
    private volatile Map<String, DelegatedShare> mShares = Map.of();

    /** Creates an empty table for the coordinator {@code self}. */
    public DelegatedShares(String self) {
        mSelf = self;
    }

    /**
     * Records the reply of {@code host} to a request that was sent at {@code requestedAt} under
     * {@code view}. After a reply that delegates nothing, an earlier delegation stays valid until
     * it expires.
     */
    public synchronized void recordReply(
            String host,
            long requestedAt,
            List<String> view,
            ShareDelegator.Reply reply,
            long now) {
        if (reply.validNanos() <= 0) {
            return;
        }
        DelegatedShare before = mShares.get(host);
        boolean uninterrupted = before != null && before.expiresAt() - now >= 0;
        long expiresAt = requestedAt + reply.validNanos();
        DelegatedShare share =
                before != null && uninterrupted
                        ? renewedShare(before, expiresAt, view, reply, now)
                        : newShare(expiresAt, view, reply, now);
        Map<String, DelegatedShare> next = new HashMap<>(mShares);
        next.put(host, share);
        mShares = Map.copyOf(next);
    }

    private DelegatedShare newShare(
            long expiresAt, List<String> view, ShareDelegator.Reply reply, long now) {
        return new DelegatedShare(
                reply.fraction(),
                now,
                reply.fraction(),
                now,
                expiresAt,
                view,
                reply.viewNumber(),
                reply.previousView(),
                formerExpiries(reply, now));
    }

    private DelegatedShare renewedShare(
            DelegatedShare before,
            long expiresAt,
            List<String> view,
            ShareDelegator.Reply reply,
            long now) {
        boolean sameView = before.viewNumber() == reply.viewNumber();
        boolean raised = reply.fraction() > before.fraction();
        // Under the former view, the share counted for a customer that had moved here only after
        // the delegation to its former coordinator had expired.
        long since = before.heldSince();
        if (!sameView) {
            for (long expiry : before.formerExpiries().values()) {
                since = laterOf(since, expiry);
            }
        }
        if (raised) {
            // The fraction before this raise may itself stem from an earlier raise, and was held
            // only from then on.
            since = laterOf(since, before.fractionRaisedAt());
        }
        double fractionBefore =
                raised
                        ? before.fraction()
                        : Math.min(before.fractionBeforeRaise(), reply.fraction());
        return new DelegatedShare(
                reply.fraction(),
                raised ? now : laterOf(before.fractionRaisedAt(), since),
                fractionBefore,
                since,
                expiresAt,
                view,
                reply.viewNumber(),
                reply.previousView(),
                sameView ? before.formerExpiries() : formerExpiries(reply, now));
    }

    /** Returns when the delegation to each former coordinator expires, by this host's clock. */
    private static Map<String, Long> formerExpiries(ShareDelegator.Reply reply, long now) {
        Map<String, Long> expiries = new HashMap<>();
        reply.formerDelegations()
                .forEach((host, remaining) -> expiries.put(host, now + withMargin(remaining)));
        return Map.copyOf(expiries);
    }

    /**
     * Returns the part of the rate of {@code customer} that was delegated to this host during the
     * whole interval [{@code since}, {@code now}].
     */
    public double fractionHeldThroughout(String customer, long since, long now) {
        Map<List<String>, Boolean> ownsByView = new HashMap<>();
        double sum = 0;
        for (DelegatedShare share : mShares.values()) {
            if (share.expiresAt() - now < 0 || !isOwner(ownsByView, customer, share.view())) {
                continue;
            }
            if (formerDelegationsExpired(ownsByView, share, customer, since)) {
                sum += share.fractionSince(since);
            }
        }
        return sum;
    }

    /** Returns whether no former coordinator can use the share for the customer any more. */
    private boolean formerDelegationsExpired(
            Map<List<String>, Boolean> ownsByView,
            DelegatedShare share,
            String customer,
            long since) {
        if (share.formerExpiries().isEmpty()) {
            return true;
        }
        List<String> formerView = share.previousView();
        if (!formerView.isEmpty() && isOwner(ownsByView, customer, formerView)) {
            return true;
        }
        String formerOwner = formerView.isEmpty() ? null : ownerOrNull(customer, formerView);
        for (Map.Entry<String, Long> expiry : share.formerExpiries().entrySet()) {
            boolean mayCoverCustomer = formerOwner == null || formerOwner.equals(expiry.getKey());
            if (mayCoverCustomer && since - expiry.getValue() < 0) {
                return false;
            }
        }
        return true;
    }

    private boolean isOwner(
            Map<List<String>, Boolean> ownsByView, String customer, List<String> view) {
        return ownsByView.computeIfAbsent(view, v -> mSelf.equals(ownerOrNull(customer, v)));
    }

    private static @Nullable String ownerOrNull(String customer, List<String> view) {
        return Rendezvous.owner(customer, view);
    }

    private static long laterOf(long a, long b) {
        return b - a > 0 ? b : a;
    }
}
