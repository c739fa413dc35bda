package org.sesamepin.core.limit;

import static org.sesamepin.core.membership.FleetTiming.withMargin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.membership.Rendezvous;

/**
 * The shares that hosts have delegated to this host as a coordinator.
 *
 * <p>Each customer has one coordinator among the live hosts, found by rendezvous hashing over a
 * view of them. A host delegates only to a coordinator that has the same view, for a short time
 * that is counted here from before the question was sent. When the view changed lately, a host may
 * still have delegated a customer to its former coordinator: its share counts for that customer
 * only after that delegation and its blocks have run out.
 *
 * <p>Immutable snapshots are swapped by the writer; readers on the path of a request take no lock.
 */
public final class Delegations {
    /** What one host delegated, under which view, and since when without a break. */
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

    /** Creates the table of the coordinator {@code self}, which holds nothing yet. */
    public Delegations(String self) {
        mSelf = self;
    }

    /**
     * Notes the answer of {@code host} to a question that was sent at {@code askedAt} under {@code
     * view}. An answer that delegates nothing leaves the former delegation to run out.
     */
    public synchronized void received(
            String host, long askedAt, List<String> view, Delegator.Answer answer, long now) {
        if (answer.forNanos() <= 0) {
            return;
        }
        DelegatedShare before = mShares.get(host);
        boolean unbroken = before != null && before.expiresAt() - now >= 0;
        long until = askedAt + answer.forNanos();
        DelegatedShare held =
                before != null && unbroken
                        ? renewedShare(before, until, view, answer, now)
                        : newShare(until, view, answer, now);
        Map<String, DelegatedShare> next = new HashMap<>(mShares);
        next.put(host, held);
        mShares = Map.copyOf(next);
    }

    private DelegatedShare newShare(
            long until, List<String> view, Delegator.Answer answer, long now) {
        return new DelegatedShare(
                answer.fraction(),
                now,
                answer.fraction(),
                now,
                until,
                view,
                answer.viewNumber(),
                answer.previousView(),
                formerExpiries(answer, now));
    }

    private DelegatedShare renewedShare(
            DelegatedShare before,
            long until,
            List<String> view,
            Delegator.Answer answer,
            long now) {
        boolean sameView = before.viewNumber() == answer.viewNumber();
        boolean raised = answer.fraction() > before.fraction();
        // A customer that moved here under the former view was covered only from its end on.
        long since = before.heldSince();
        if (!sameView) {
            for (long end : before.formerExpiries().values()) {
                since = laterOf(since, end);
            }
        }
        if (raised) {
            // An earlier raise counts from its own time on only.
            since = laterOf(since, before.fractionRaisedAt());
        }
        double base =
                raised
                        ? before.fraction()
                        : Math.min(before.fractionBeforeRaise(), answer.fraction());
        return new DelegatedShare(
                answer.fraction(),
                raised ? now : laterOf(before.fractionRaisedAt(), since),
                base,
                since,
                until,
                view,
                answer.viewNumber(),
                answer.previousView(),
                sameView ? before.formerExpiries() : formerExpiries(answer, now));
    }

    /** Returns when each former coordinator's delegation has ended, by this host's clock. */
    private static Map<String, Long> formerExpiries(Delegator.Answer answer, long now) {
        Map<String, Long> ends = new HashMap<>();
        answer.lentElsewhere()
                .forEach((host, remaining) -> ends.put(host, now + withMargin(remaining)));
        return Map.copyOf(ends);
    }

    /**
     * Returns the part of the rate of {@code customer} that has been held throughout [{@code
     * since}, {@code now}].
     */
    public double heldThroughout(String customer, long since, long now) {
        Map<List<String>, Boolean> owns = new HashMap<>();
        double sum = 0;
        for (DelegatedShare held : mShares.values()) {
            if (held.expiresAt() - now < 0 || !isOwner(owns, customer, held.view())) {
                continue;
            }
            if (formerDelegationsExpired(owns, held, customer, since)) {
                sum += held.fractionSince(since);
            }
        }
        return sum;
    }

    /** Tells whether no former coordinator can use the share for the customer any more. */
    private boolean formerDelegationsExpired(
            Map<List<String>, Boolean> owns, DelegatedShare held, String customer, long since) {
        if (held.formerExpiries().isEmpty()) {
            return true;
        }
        List<String> former = held.previousView();
        if (!former.isEmpty() && isOwner(owns, customer, former)) {
            return true;
        }
        String formerOwner = former.isEmpty() ? null : ownerOrNull(customer, former);
        for (Map.Entry<String, Long> end : held.formerExpiries().entrySet()) {
            boolean concerns = formerOwner == null || formerOwner.equals(end.getKey());
            if (concerns && since - end.getValue() < 0) {
                return false;
            }
        }
        return true;
    }

    private boolean isOwner(Map<List<String>, Boolean> known, String customer, List<String> view) {
        return known.computeIfAbsent(view, v -> mSelf.equals(ownerOrNull(customer, v)));
    }

    private static @Nullable String ownerOrNull(String customer, List<String> view) {
        return Rendezvous.owner(customer, view);
    }

    private static long laterOf(long a, long b) {
        return b - a > 0 ? b : a;
    }
}
