package org.sesamepin.core.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Immutable snapshot of all registered targets. */
public final class TargetDirectory {
    /** A directory without targets. */
    public static final TargetDirectory EMPTY = new TargetDirectory(List.of());

    private final Map<String, TargetInstance> mById = new HashMap<>();
    private final Map<String, List<TargetInstance>> mReadyByService = new HashMap<>();
    private final List<TargetInstance> mOutsideEvacuation = new ArrayList<>();
    private final Set<String> mServicesInEvacuation = new HashSet<>();
    private final Set<String> mLeaving;
    private final Set<String> mEvacuatedDomains;

    /** Creates a directory of {@code targets}. */
    public TargetDirectory(Iterable<TargetInstance> targets) {
        this(targets, Set.of(), Set.of());
    }

    /**
     * Creates a directory of {@code targets}.
     *
     * @param leaving incarnations that accept no requests, whatever their registration says
     * @param evacuatedDomains failure domains whose targets get no requests
     */
    public TargetDirectory(
            Iterable<TargetInstance> targets, Set<String> leaving, Set<String> evacuatedDomains) {
        mLeaving = Set.copyOf(leaving);
        mEvacuatedDomains = Set.copyOf(evacuatedDomains);
        for (TargetInstance target : targets) {
            mById.put(target.id(), target);
            if (isEvacuated(target)) {
                mServicesInEvacuation.add(target.service());
                continue;
            }
            mOutsideEvacuation.add(target);
            if (acceptsRequests(target)) {
                mReadyByService
                        .computeIfAbsent(target.service(), s -> new ArrayList<>())
                        .add(target);
            }
        }
    }

    private boolean acceptsRequests(TargetInstance target) {
        return target.state().acceptsRequests()
                && !mLeaving.contains(target.incarnation())
                && !isEvacuated(target);
    }

    /** Returns whether the target gets no requests because its failure domain is evacuated. */
    public boolean isEvacuated(TargetInstance target) {
        return mEvacuatedDomains.contains(target.failureDomain());
    }

    /**
     * Returns whether no target of {@code service} accepts requests and some of its targets are in
     * evacuated failure domains.
     */
    public boolean isServiceEvacuated(String service) {
        return mServicesInEvacuation.contains(service) && readyTargets(service).isEmpty();
    }

    /** Returns the registered targets outside the evacuated failure domains, in any state. */
    public List<TargetInstance> targetsOutsideEvacuation() {
        return mOutsideEvacuation;
    }

    /** Returns the targets of {@code service} that accept requests. */
    public List<TargetInstance> readyTargets(String service) {
        return mReadyByService.getOrDefault(service, List.of());
    }

    /** Returns the target with {@code id}, or null when none is registered. */
    public @Nullable TargetInstance get(String id) {
        return mById.get(id);
    }

    /**
     * Returns the targets of {@code service} that accept requests.
     *
     * @param version software version of the targets; null for any
     */
    public List<TargetInstance> readyTargets(String service, @Nullable String version) {
        List<TargetInstance> targets = readyTargets(service);
        if (version == null) {
            return targets;
        }
        return targets.stream().filter(target -> target.version().equals(version)).toList();
    }

    /** Returns the registered target of an incarnation, whatever its state; null for none. */
    public @Nullable TargetInstance findIncarnation(String incarnation) {
        int at = incarnation.lastIndexOf('@');
        TargetInstance target = at < 0 ? null : mById.get(incarnation.substring(0, at));
        return target != null && target.incarnation().equals(incarnation) ? target : null;
    }

    /**
     * Returns whether this incarnation of the target is registered, with the same service and
     * version, and accepts requests.
     */
    public boolean isReady(TargetInstance target) {
        TargetInstance current = mById.get(target.id());
        return current != null
                && isSame(current, target)
                && current.address().equals(target.address())
                && acceptsRequests(current);
    }

    /**
     * Returns whether the id of the target is registered for another incarnation, service or
     * version.
     */
    public boolean isReplaced(TargetInstance target) {
        TargetInstance current = mById.get(target.id());
        return current != null && !isSame(current, target);
    }

    private static boolean isSame(TargetInstance current, TargetInstance target) {
        return current.startedAtMs() == target.startedAtMs()
                && current.software().equals(target.software());
    }

    /** Returns all targets by id. */
    public Map<String, TargetInstance> targetsById() {
        return mById;
    }
}
