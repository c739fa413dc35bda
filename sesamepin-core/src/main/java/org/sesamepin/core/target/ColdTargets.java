package org.sesamepin.core.target;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.ServiceSpec;

/**
 * Targets that have lately started, or have got no requests for a while, and take few requests
 * until they are warm. Not thread-safe.
 */
public final class ColdTargets {
    /** Time for which a target counts as cold beyond what was stated: clocks and messages vary. */
    private static final long MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Part of the tolerated rate that is given out. A target crashes above 1.5 times that rate plus
     * 5 in one second. While the hosts disagree, two hosts may coordinate its service; with a burst
     * of 2 each they then give out 1.4 times the rate plus 4, which leaves room for requests that
     * are late on their way.
     */
    private static final double GIVEN_OUT = 0.7;

    private record Cold(String service, long warmAt) {}

    private final Function<String, @Nullable ServiceSpec> mServices;

    /** Cold targets by incarnation, as this host has found out: hosts that start miss it. */
    private final Map<String, Cold> mFound = new HashMap<>();

    /** Cold targets by incarnation, as their entries state or peers have found out. */
    private final Map<String, Cold> mTold = new HashMap<>();

    /**
     * Creates an instance without cold targets.
     *
     * @param services returns the service of a name as it is configured now; null for none
     */
    public ColdTargets(Function<String, @Nullable ServiceSpec> services) {
        mServices = services;
    }

    /**
     * Records that a target may have become cold while it got no requests. A shorter time than is
     * known changes nothing.
     *
     * @param leftMs time until it is warm, milliseconds
     * @return whether it was not cold before
     */
    public boolean recordFound(TargetInstance target, long leftMs, long now) {
        long warmAt = now + TimeUnit.MILLISECONDS.toNanos(leftMs) + MARGIN_NANOS;
        return leftMs > 0 && record(mFound, target, warmAt);
    }

    /**
     * Records that the entry of a target states how long it is cold. Peers are not told: they read
     * the entry themselves, and a host that starts would make targets cold again for all hosts by
     * entries that were written long ago.
     *
     * @return whether it was not cold before
     */
    public boolean recordStated(TargetInstance target, long leftMs, long now) {
        long warmAt = now + TimeUnit.MILLISECONDS.toNanos(leftMs) + MARGIN_NANOS;
        return leftMs > 0 && record(mTold, target, warmAt);
    }

    /**
     * Records that a peer has found a target to be cold. This is not passed on to other peers:
     * reports that go back and forth would lengthen the time without end.
     *
     * @return whether it was not cold before
     */
    public boolean recordReported(TargetInstance target, long leftMs, long now) {
        long warmAt = now + TimeUnit.MILLISECONDS.toNanos(leftMs);
        return leftMs > 0 && record(mTold, target, warmAt);
    }

    private boolean record(Map<String, Cold> cold, TargetInstance target, long warmAt) {
        String incarnation = target.incarnation();
        boolean isNew = !mFound.containsKey(incarnation) && !mTold.containsKey(incarnation);
        Cold known = cold.get(incarnation);
        if (known == null || known.warmAt() - warmAt < 0) {
            cold.put(incarnation, new Cold(target.service(), warmAt));
        }
        return isNew;
    }

    /**
     * Returns whether a target counts as cold.
     *
     * @param target incarnation of the target
     */
    public boolean isCold(String target) {
        return spec(target) != null;
    }

    /** Returns the service of a cold target whose service has cold targets, or null. */
    private @Nullable ServiceSpec spec(String target) {
        Cold found = mFound.get(target);
        Cold cold = found == null ? mTold.get(target) : found;
        ServiceSpec spec = cold == null ? null : mServices.apply(cold.service());
        return spec != null && spec.hasColdTargets() ? spec : null;
    }

    /**
     * Returns the requests per second that all hosts together give out to a target because it is
     * cold; infinite when it is not, or tolerates any number.
     */
    public double perS(String target) {
        ServiceSpec spec = spec(target);
        return spec == null || spec.coldPerS() <= 0
                ? Double.POSITIVE_INFINITY
                : spec.coldPerS() * GIVEN_OUT;
    }

    /**
     * Returns the time until each target is warm of which this host has found that it may be cold,
     * milliseconds, by incarnation.
     */
    public Map<String, Long> foundLeftMs(long now) {
        Map<String, Long> leftMs = new HashMap<>();
        mFound.forEach(
                (target, cold) -> {
                    if (cold.warmAt() - now > 0) {
                        leftMs.put(target, TimeUnit.NANOSECONDS.toMillis(cold.warmAt() - now));
                    }
                });
        return leftMs;
    }

    /** Returns the number of targets that count as cold. */
    public long count() {
        return known().stream().filter(this::isCold).count();
    }

    private Set<String> known() {
        Set<String> known = new HashSet<>(mFound.keySet());
        known.addAll(mTold.keySet());
        return known;
    }

    /** Removes and returns the incarnations of the targets that are warm now. */
    public Set<String> removeWarm(long now) {
        Set<String> warm = known();
        mFound.values().removeIf(cold -> cold.warmAt() - now <= 0);
        mTold.values().removeIf(cold -> cold.warmAt() - now <= 0);
        warm.removeAll(known());
        return warm;
    }

    /** Drops the targets that are not registered any more. */
    public void retain(Predicate<String> isRegistered) {
        mFound.keySet().removeIf(target -> !isRegistered.test(target));
        mTold.keySet().removeIf(target -> !isRegistered.test(target));
    }
}
