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

/** Orders the targets that may serve a request, the best first. */
public final class TargetChooser {
    private final FleetView mFleet;
    private final SlotService mSlots;
    private final TargetHealth mHealth;
    private final RoutingPolicy mPolicy;
    private final String mFailureDomain;
    private final Map<String, AtomicInteger> mSent = new ConcurrentHashMap<>();

    /** Creates a chooser for a host in {@code failureDomain}. */
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

    /** Returns the targets of a model or service that are not leaving, the best first. */
    public List<Candidate> order(Bundle bundle, String serves, Set<String> tried) {
        List<Candidate> candidates = new ArrayList<>();
        for (Target target : bundle.targetsServing(serves)) {
            boolean leaving = mHealth.isLeaving(target.name(), target.hostAndPort());
            if (!leaving && !tried.contains(target.name())) {
                candidates.add(candidate(target));
            }
        }
        return mPolicy.order(candidates, ThreadLocalRandom.current());
    }

    private Candidate candidate(Target target) {
        boolean own = mSlots.owns(target);
        @Nullable TargetLoad load = own ? mSlots.load(target) : mFleet.loadOf(target.name());
        int free = load == null ? target.slots() : load.getFreeSlots();
        boolean failing = mHealth.isFailing(target.name()) || (load != null && load.isFailing());
        boolean sameDomain = target.failureDomain().equals(mFailureDomain);
        int sent = own ? 0 : sent(target.name()).get();
        return new Candidate(target, free, sent, sameDomain, failing);
    }

    /** Counts a request on its way to a target until the next heartbeat tells of it. */
    public void sentTo(Target target) {
        sent(target.name()).incrementAndGet();
    }

    /** Forgets what was sent: the owners' heartbeats now tell of it. */
    public void loadsRefreshed() {
        mSent.values().forEach(count -> count.set(0));
    }

    private AtomicInteger sent(String target) {
        return mSent.computeIfAbsent(target, t -> new AtomicInteger());
    }

    /** Describes the candidates for the log. */
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
