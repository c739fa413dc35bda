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
public final class DelegatedShares {
    /** What one host delegated, under which view, and since when without a break. */
    private record Held(
            double fraction,
            long raisedAt,
            double baseFraction,
            long since,
            long until,
            List<String> view,
            long viewNumber,
            List<String> previousView,
            Map<String, Long> formerEnds) {
        double amountSince(long start) {
            if (start - raisedAt >= 0) {
                return fraction;
            }
            return start - since >= 0 ? baseFraction : 0;
        }
    }

    private final String mSelf;
    private volatile Map<String, Held> mHeld = Map.of();

    /** Creates the table of the coordinator {@code self}, which holds nothing yet. */
    public DelegatedShares(String self) {
        mSelf = self;
    }

    /**
     * Notes the answer of {@code host} to a question that was sent at {@code askedAt} under {@code
     * view}. An answer that delegates nothing leaves the former delegation to run out.
     */
    public synchronized void recordReply(
            String host, long askedAt, List<String> view, ShareDelegator.Reply answer, long now) {
        if (answer.validNanos() <= 0) {
            return;
        }
        Held before = mHeld.get(host);
        boolean unbroken = before != null && before.until() - now >= 0;
        long until = askedAt + answer.validNanos();
        Held held =
                before != null && unbroken
                        ? renewed(before, until, view, answer, now)
                        : fresh(until, view, answer, now);
        Map<String, Held> next = new HashMap<>(mHeld);
        next.put(host, held);
        mHeld = Map.copyOf(next);
    }

    private Held fresh(long until, List<String> view, ShareDelegator.Reply answer, long now) {
        return new Held(
                answer.fraction(),
                now,
                answer.fraction(),
                now,
                until,
                view,
                answer.viewNumber(),
                answer.previousView(),
                formerEnds(answer, now));
    }

    private Held renewed(
            Held before, long until, List<String> view, ShareDelegator.Reply answer, long now) {
        boolean sameView = before.viewNumber() == answer.viewNumber();
        boolean raised = answer.fraction() > before.fraction();
        // A customer that moved here under the former view was covered only from its end on.
        long since = before.since();
        if (!sameView) {
            for (long end : before.formerEnds().values()) {
                since = later(since, end);
            }
        }
        if (raised) {
            // An earlier raise counts from its own time on only.
            since = later(since, before.raisedAt());
        }
        double base =
                raised ? before.fraction() : Math.min(before.baseFraction(), answer.fraction());
        return new Held(
                answer.fraction(),
                raised ? now : later(before.raisedAt(), since),
                base,
                since,
                until,
                view,
                answer.viewNumber(),
                answer.previousView(),
                sameView ? before.formerEnds() : formerEnds(answer, now));
    }

    /** Returns when each former coordinator's delegation has ended, by this host's clock. */
    private static Map<String, Long> formerEnds(ShareDelegator.Reply answer, long now) {
        Map<String, Long> ends = new HashMap<>();
        answer.formerDelegations()
                .forEach((host, remaining) -> ends.put(host, now + withMargin(remaining)));
        return Map.copyOf(ends);
    }

    /**
     * Returns the part of the rate of {@code customer} that has been held throughout [{@code
     * since}, {@code now}].
     */
    public double fractionHeldThroughout(String customer, long since, long now) {
        Map<List<String>, Boolean> owns = new HashMap<>();
        double sum = 0;
        for (Held held : mHeld.values()) {
            if (held.until() - now < 0 || !owns(owns, customer, held.view())) {
                continue;
            }
            if (formerEnded(owns, held, customer, since)) {
                sum += held.amountSince(since);
            }
        }
        return sum;
    }

    /** Tells whether no former coordinator can use the share for the customer any more. */
    private boolean formerEnded(
            Map<List<String>, Boolean> owns, Held held, String customer, long since) {
        if (held.formerEnds().isEmpty()) {
            return true;
        }
        List<String> former = held.previousView();
        if (!former.isEmpty() && owns(owns, customer, former)) {
            return true;
        }
        String formerOwner = former.isEmpty() ? null : ownerOrNull(customer, former);
        for (Map.Entry<String, Long> end : held.formerEnds().entrySet()) {
            boolean concerns = formerOwner == null || formerOwner.equals(end.getKey());
            if (concerns && since - end.getValue() < 0) {
                return false;
            }
        }
        return true;
    }

    private boolean owns(Map<List<String>, Boolean> known, String customer, List<String> view) {
        return known.computeIfAbsent(view, v -> mSelf.equals(ownerOrNull(customer, v)));
    }

    private static @Nullable String ownerOrNull(String customer, List<String> view) {
        return Rendezvous.owner(customer, view);
    }

    private static long later(long a, long b) {
        return b - a > 0 ? b : a;
    }
}
