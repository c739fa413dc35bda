package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Token bucket of one customer over a fraction of its rate; the fraction may grow and shrink.
 *
 * <p>Invariant: the tokens in the bucket plus the tokens in granted blocks that are not known to be
 * spent are at most burst * fraction. The fractions of all buckets of a customer never add up to
 * more than one, so in any window of length t at most rate * t + burst requests are admitted.
 *
 * <p>Thread-safe: the state is an immutable value that is replaced atomically.
 */
public final class ShareBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /**
     * Fraction of the rate below which the bucket refills so slowly that a rejection does not show
     * that the customer exceeded its rate.
     */
    private static final double MIN_RELIABLE_FRACTION = 0.5;

    /** Number of discarded tokens above which a loss can affect a request. */
    private static final double SIGNIFICANT_LOSS_TOKENS = 0.5;

    /** Part of the rate that is not refilled, since a host's clock may run fast by that much. */
    private static final double CLOCK_RATE_MARGIN = 0.0005;

    /** Supplies the fraction of the rate that this host held during a past interval. */
    @FunctionalInterface
    public interface FractionHistory {
        /** Returns the fraction held during the whole interval [{@code since}, {@code now}]. */
        double fractionHeldThroughout(long since, long now);
    }

    /** A block of tokens that was granted to a host and has not been closed. */
    record Grant(long blockId, double tokens, long expiresAt) {}

    /**
     * Contents of the bucket.
     *
     * @param level tokens in the bucket
     * @param refilledAt time up to which the bucket has been refilled
     * @param lastLossAt when tokens were last discarded, because the fraction shrank or it is not
     *     known which fraction was held before
     * @param grants granted blocks that have neither expired nor been closed
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

    /** Creates an empty bucket that is refilled from {@code now} on. */
    public ShareBucket(FractionHistory fractionHistory, long now) {
        mFractionHistory = fractionHistory;
        mState = new AtomicReference<>(new State(0, now, now, List.of()));
    }

    /** Takes {@code cost} tokens if the bucket has as many; returns whether it did. */
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
     * Grants a block of {@code least} to {@code wanted} tokens that expires at {@code expiresAt}.
     * Returns the number of tokens granted, 0 if the bucket has fewer than {@code least}.
     */
    public double grantBlock(
            long blockId,
            double wanted,
            double least,
            long expiresAt,
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
                grants.add(new Grant(blockId, tokens, expiresAt));
            }
            double remaining = state.level() - tokens;
            if (compareAndSet(
                    before, new State(remaining, state.refilledAt(), state.lastLossAt(), grants))) {
                return tokens;
            }
        }
    }

    /**
     * Closes a block from which its holder spends no more, and puts its {@code unused} tokens back
     * into the bucket. An unknown or expired block is ignored, so a repeated message is harmless.
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

    /**
     * Refills the bucket up to {@code now}. Without regular calls, a change of the fraction would
     * also apply to the time before it.
     */
    public void refill(double rate, double burst, long now) {
        State before = mState.get();
        compareAndSet(before, advance(before, rate, burst, now));
    }

    /**
     * Returns whether the bucket discarded tokens so recently that it may still have fewer than it
     * would have without that loss: it may then reject requests that are within the rate.
     */
    public boolean isRecovering(double rate, double burst, long now) {
        State state = advance(mState.get(), rate, burst, now);
        return now - state.lastLossAt() < burst / rate * NANOS_PER_SECOND;
    }

    /**
     * Returns how long it takes until the bucket has {@code cost} tokens, in nanoseconds; one
     * second if this host holds no fraction of the rate.
     */
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
        double maxTokens = burst * fraction;
        double perNano = rate * fraction * (1 - CLOCK_RATE_MARGIN) / NANOS_PER_SECOND;
        double outstandingTokens = state.outstandingTokens();
        double level = Math.min(state.level(), maxTokens - outstandingTokens);
        boolean hasLoss =
                state.level() - level > SIGNIFICANT_LOSS_TOKENS || fraction < MIN_RELIABLE_FRACTION;
        long lastLossAt = hasLoss ? now : state.lastLossAt();
        long refilledAt = state.refilledAt();
        for (Grant expired : expiredInOrder(state.grants(), now)) {
            level =
                    Math.min(
                            level + perNano * (expired.expiresAt() - refilledAt),
                            maxTokens - outstandingTokens);
            outstandingTokens -= expired.tokens();
            refilledAt = expired.expiresAt();
        }
        level = Math.min(level + perNano * (now - refilledAt), maxTokens - outstandingTokens);
        return new State(Math.max(0, level), now, lastLossAt, unexpired(state.grants(), now));
    }

    private static List<Grant> expiredInOrder(List<Grant> grants, long now) {
        return grants.stream()
                .filter(g -> now - g.expiresAt() >= 0)
                .sorted((a, b) -> Long.compare(a.expiresAt() - b.expiresAt(), 0))
                .toList();
    }

    private static List<Grant> unexpired(List<Grant> grants, long now) {
        boolean anyExpired = false;
        for (Grant grant : grants) {
            anyExpired |= now - grant.expiresAt() >= 0;
        }
        if (!anyExpired) {
            return grants;
        }
        return grants.stream().filter(g -> now - g.expiresAt() < 0).toList();
    }
}
