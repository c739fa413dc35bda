package org.sesamepin.node.online;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.Target;
import org.sesamepin.core.routing.Candidate;
import org.sesamepin.core.routing.RoutingPolicy;
import org.sesamepin.node.fleet.FleetView;
import org.sesamepin.node.peer.generated.TargetLoad;
import org.sesamepin.node.slot.SlotService;
import org.sesamepin.node.slot.TargetHealth;

/**
 * Orders the targets that can serve a request, the best first. The owners of targets report their
 * load with each heartbeat; requests that this host has sent since then are counted on top.
 */
public final class TargetChooser {
    private final FleetView mFleet;
    private final SlotService mSlots;
    private final TargetHealth mHealth;
    private final RoutingPolicy mPolicy;
    private final String mFailureDomain;
    private final Map<String, AtomicInteger> mSentCounts = new ConcurrentHashMap<>();

    /** Creates a chooser for a host in {@code failureDomain}; targets in it are preferred. */
    public TargetChooser(
            FleetView fleet,
            SlotService slots,
            TargetHealth health,
            RoutingPolicy policy,
            String failureDomain) {
        mFleet = fleet;
        mSlots = slots;
        mHealth = health;
        mPolicy = policy;
        mFailureDomain = failureDomain;
    }

    /**
     * Returns the targets that serve {@code serviceName}, the best first, without those that are
     * leaving and those in {@code tried}.
     *
     * @param bundle the configuration of the request
     * @param serviceName a model or a plain service
     * @param tried names of the targets at which the request has been tried already
     */
    public List<Candidate> order(Bundle bundle, String serviceName, Set<String> tried) {
        List<Candidate> candidates = new ArrayList<>();
        for (Target target : bundle.targetsServing(serviceName)) {
            boolean leaving = mHealth.isLeaving(target.name(), target.hostAndPort());
            if (!leaving && !tried.contains(target.name())) {
                candidates.add(toCandidate(target));
            }
        }
        return mPolicy.order(candidates, ThreadLocalRandom.current());
    }

    private Candidate toCandidate(Target target) {
        boolean isOwner = mSlots.owns(target);
        @Nullable TargetLoad load = isOwner ? mSlots.loadOf(target) : mFleet.loadOf(target.name());
        int freeSlots = load == null ? target.slots() : load.getFreeSlots();
        boolean failing = mHealth.isFailing(target.name()) || (load != null && load.isFailing());
        boolean sameFailureDomain = target.failureDomain().equals(mFailureDomain);
        int sentSinceReport = isOwner ? 0 : sentCount(target.name()).get();
        return new Candidate(target, freeSlots, sentSinceReport, sameFailureDomain, failing);
    }

    /** Counts a request sent to {@code target}, until the owner's next heartbeat includes it. */
    public void recordSent(Target target) {
        sentCount(target.name()).incrementAndGet();
    }

    /**
     * Resets the counts of sent requests, because the owners' heartbeats now include them; called
     * with each heartbeat.
     */
    public void resetSentCounts() {
        mSentCounts.values().forEach(count -> count.set(0));
    }

    private AtomicInteger sentCount(String target) {
        return mSentCounts.computeIfAbsent(target, t -> new AtomicInteger());
    }

    /** Formats the candidates for the log: name, free slots, and whether near or failing. */
    static String describe(List<Candidate> candidates) {
        return candidates.stream()
                .map(
                        c ->
                                c.target().name()
                                        + ":free="
                                        + (c.freeSlots() - c.sentSinceReport())
                                        + (c.sameFailureDomain() ? ":near" : "")
                                        + (c.failing() ? ":failing" : ""))
                .collect(Collectors.joining(","));
    }
}
