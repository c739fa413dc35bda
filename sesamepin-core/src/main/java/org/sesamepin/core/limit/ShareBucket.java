package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Token bucket of one customer over a part of its rate that may grow and shrink.
 *
 * <p>At every moment the tokens in the bucket and the tokens granted in blocks that are not known
 * to be spent add up to at most burst * fraction. Summed over all buckets of a customer the
 * fractions never exceed one, so in any window of length t the admissions are at most rate * t +
 * burst.
 *
 * <p>Thread-safe: the state is an immutable value that is swapped atomically.
 */
public final class ShareBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Fraction below which the bucket refills so slowly that a refusal says little. */
    private static final double MIN_RELIABLE_FRACTION = 0.5;

    /** Tokens whose loss matters to a request. */
    private static final double SIGNIFICANT_LOSS_TOKENS = 0.5;

    /** Part of the rate that is kept back, since a host's clock may run fast by that much. */
    private static final double CLOCK_RATE_MARGIN = 0.0005;

    /** Tells which fraction of the rate has been held without a break since {@code since}. */
    @FunctionalInterface
    public interface FractionHistory {
        /** Returns the fraction held throughout [{@code since}, {@code now}]. */
        double fractionHeldThroughout(long since, long now);
    }

    /** A block granted to a host. */
    record Grant(long blockId, double tokens, long expiresAt) {}

    /**
     * What the bucket holds.
     *
     * @param level tokens
     * @param refilledAt up to when the refill is counted
     * @param lastLossAt when tokens were last given up, because the fraction shrank or its past is
     *     unknown
     * @param grants blocks that have not ended
     */
    private record State(double level, long refilledAt, long lastLossAt, List<Grant> grants) {
        double outstandingTokens() {
            double sum = 0;
            for (Grant grant : grants) {
                sum += grant.tokens();
            }
            return sum;
        }
    }

    private final AtomicReference<State> mState;
    private final FractionHistory mFractionHistory;

    /** Creates an empty bucket whose refill starts at {@code now}. */
    public ShareBucket(FractionHistory fraction, long now) {
        mFractionHistory = fraction;
        mState = new AtomicReference<>(new State(0, now, now, List.of()));
    }

    /** Takes {@code cost} tokens at once, or none. */
    public boolean take(double cost, double rate, double burst, long now) {
        while (true) {
            State before = mState.get();
            State state = advance(before, rate, burst, now);
            boolean enough = state.level() >= cost;
            double level = enough ? state.level() - cost : state.level();
            if (compareAndSet(
                    before,
                    new State(level, state.refilledAt(), state.lastLossAt(), state.grants()))) {
                return enough;
            }
        }
    }

    /**
     * Grants a block of at most {@code wanted} tokens, at least {@code least}, to be spent before
     * {@code endsAt}. Returns the tokens granted, 0 when there are not enough.
     */
    public double grantBlock(
            long blockId,
            double wanted,
            double least,
            long endsAt,
            double rate,
            double burst,
            long now) {
        while (true) {
            State before = mState.get();
            State state = advance(before, rate, burst, now);
            double tokens = Math.min(wanted, Math.max(least, Math.floor(state.level() / 2)));
            if (state.level() < tokens) {
                tokens = Math.floor(state.level());
            }
            if (tokens < least || tokens <= 0) {
                tokens = 0;
            }
            List<Grant> grants = state.grants();
            if (tokens > 0) {
                grants = new ArrayList<>(grants);
                grants.add(new Grant(blockId, tokens, endsAt));
            }
            double left = state.level() - tokens;
            if (compareAndSet(
                    before, new State(left, state.refilledAt(), state.lastLossAt(), grants))) {
                return tokens;
            }
        }
    }

    /**
     * Closes a block: its holder spends nothing from it any more and gives back {@code unused}. A
     * block that is unknown or has ended gives nothing back, so a repeated message is harmless.
     */
    public void closeBlock(long blockId, double unused, double rate, double burst, long now) {
        while (true) {
            State before = mState.get();
            State state = advance(before, rate, burst, now);
            @Nullable Grant closed = null;
            List<Grant> grants = new ArrayList<>();
            for (Grant grant : state.grants()) {
                if (grant.blockId() == blockId) {
                    closed = grant;
                } else {
                    grants.add(grant);
                }
            }
            if (closed == null) {
                return;
            }
            double level = state.level() + Math.max(0, Math.min(unused, closed.tokens()));
            if (compareAndSet(
                    before, new State(level, state.refilledAt(), state.lastLossAt(), grants))) {
                return;
            }
        }
    }

    /** Brings the refill up to date, so that later changes of the fraction do not reach back. */
    public void refill(double rate, double burst, long now) {
        State before = mState.get();
        compareAndSet(before, advance(before, rate, burst, now));
    }

    /**
     * Tells whether the bucket gave up tokens so lately that it may hold fewer than a bucket with
     * an unbroken past would: a refusal now may hit a request inside the rate.
     */
    public boolean isRecovering(double rate, double burst, long now) {
        State state = advance(mState.get(), rate, burst, now);
        return now - state.lastLossAt() < burst / rate * NANOS_PER_SECOND;
    }

    /** Returns how long it takes until {@code cost} tokens are there, nanoseconds. */
    public long nanosUntil(double cost, double rate, double burst, long now) {
        State state = advance(mState.get(), rate, burst, now);
        double fraction = mFractionHistory.fractionHeldThroughout(now, now);
        if (fraction <= 0) {
            return TimeUnit.SECONDS.toNanos(1);
        }
        double missing = Math.max(0, cost - state.level());
        return (long) (missing / (rate * fraction) * NANOS_PER_SECOND);
    }

    private boolean compareAndSet(State before, State after) {
        return mState.compareAndSet(before, after);
    }

    private State advance(State state, double rate, double burst, long now) {
        long elapsed = now - state.refilledAt();
        if (elapsed < 0) {
            return state;
        }
        double fraction = mFractionHistory.fractionHeldThroughout(state.refilledAt(), now);
        double cap = burst * fraction;
        double perNano = rate * fraction * (1 - CLOCK_RATE_MARGIN) / NANOS_PER_SECOND;
        double outstanding = state.outstandingTokens();
        double level = Math.min(state.level(), cap - outstanding);
        boolean lost =
                state.level() - level > SIGNIFICANT_LOSS_TOKENS || fraction < MIN_RELIABLE_FRACTION;
        long lostAt = lost ? now : state.lastLossAt();
        long at = state.refilledAt();
        for (Grant ended : expiredInOrder(state.grants(), now)) {
            level = Math.min(level + perNano * (ended.expiresAt() - at), cap - outstanding);
            outstanding -= ended.tokens();
            at = ended.expiresAt();
        }
        level = Math.min(level + perNano * (now - at), cap - outstanding);
        return new State(Math.max(0, level), now, lostAt, unexpired(state.grants(), now));
    }

    private static List<Grant> expiredInOrder(List<Grant> grants, long now) {
        return grants.stream()
                .filter(g -> now - g.expiresAt() >= 0)
                .sorted((a, b) -> Long.compare(a.expiresAt() - b.expiresAt(), 0))
                .toList();
    }

    private static List<Grant> unexpired(List<Grant> grants, long now) {
        boolean anyEnded = false;
        for (Grant grant : grants) {
            anyEnded |= now - grant.expiresAt() >= 0;
        }
        if (!anyEnded) {
            return grants;
        }
        return grants.stream().filter(g -> now - g.expiresAt() < 0).toList();
    }
}
