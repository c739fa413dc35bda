package org.sesamepin.node.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.EvacuationOrders;
import org.sesamepin.core.target.TargetDirectory;
import org.sesamepin.core.target.TargetInstance;

/**
 * The configuration and the targets that requests read. Each is an immutable snapshot that is
 * replaced as a whole, so that readers need no lock.
 */
public final class ServingState {
    /** Incarnations that are remembered as leaving; older ones have ended long since. */
    private static final int MAX_LEAVING = 4_096;

    private volatile ServingConfig mConfig = ServingConfig.NONE;
    private volatile TargetDirectory mTargets = TargetDirectory.EMPTY;
    private volatile boolean mTargetsKnown;
    private volatile @Nullable DrainWindow mDrainWindow;
    private volatile Set<String> mLeaving = Set.of();
    private volatile EvacuationOrders mEvacuation = EvacuationOrders.NONE;

    public ServingConfig config() {
        return mConfig;
    }

    public TargetDirectory targets() {
        return mTargets;
    }

    /**
     * Activates {@code config} if its version is newer than the active one.
     *
     * @return whether it was activated
     */
    public boolean activateIfNewer(ServingConfig config) {
        if (config.version() <= mConfig.version()) {
            return false;
        }
        mConfig = config;
        return true;
    }

    /**
     * Replaces the registered targets; those that said that they leave and those in evacuated
     * failure domains get no requests.
     */
    public void setTargets(Collection<TargetInstance> targets) {
        mTargets = new TargetDirectory(targets, mLeaving, mEvacuation.domains());
        mTargetsKnown = true;
    }

    /** Returns the orders to evacuate failure domains that this host knows. */
    public EvacuationOrders evacuation() {
        return mEvacuation;
    }

    /** Replaces the orders to evacuate failure domains; they hold from now on. */
    public void setEvacuation(EvacuationOrders evacuation) {
        mEvacuation = evacuation;
        Collection<TargetInstance> targets = mTargets.targetsById().values();
        mTargets = new TargetDirectory(targets, mLeaving, evacuation.domains());
    }

    /** Returns whether the targets were read, be there any or not. */
    boolean areTargetsKnown() {
        return mTargetsKnown;
    }

    /**
     * Records that a target said in a response that it leaves. It gets no further request from this
     * host, even if its registration still says that it is ready. This holds for the incarnation,
     * also when its registration lapses and is there again after an outage of the store; another
     * incarnation under the same id or address is not affected.
     *
     * @return false if that was known
     */
    boolean recordLeaving(TargetInstance target) {
        if (mLeaving.contains(target.incarnation())) {
            return false;
        }
        List<String> leaving = new ArrayList<>(mLeaving);
        leaving.add(target.incarnation());
        int dropped = Math.max(0, leaving.size() - MAX_LEAVING);
        mLeaving = new LinkedHashSet<>(leaving.subList(dropped, leaving.size()));
        setTargets(mTargets.targetsById().values());
        return true;
    }

    /** Returns the incarnations of the registered targets that said that they leave. */
    Set<String> leavingTargets() {
        Set<String> leaving = mLeaving;
        if (leaving.isEmpty()) {
            return leaving;
        }
        return mTargets.targetsById().values().stream()
                .map(TargetInstance::incarnation)
                .filter(leaving::contains)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the incarnations of the registered targets that get no requests from this host
     * although their registrations may say that they are ready: they said that they leave, or their
     * failure domain is evacuated.
     */
    Set<String> withdrawnTargets() {
        Set<String> withdrawn = new HashSet<>(leavingTargets());
        if (!mEvacuation.domains().isEmpty()) {
            TargetDirectory targets = mTargets;
            targets.targetsById().values().stream()
                    .filter(targets::isEvacuated)
                    .map(TargetInstance::incarnation)
                    .forEach(withdrawn::add);
        }
        return withdrawn;
    }

    /** Starts draining: the process is about to stop, at the end of {@code window}. */
    public void drain(DrainWindow window) {
        mDrainWindow = window;
    }

    public boolean isDraining() {
        return mDrainWindow != null;
    }

    /**
     * Returns whether a request that arrives now and may take {@code budgetNanos} is certain to end
     * before this process does.
     */
    public boolean canFinish(long now, long budgetNanos) {
        DrainWindow window = mDrainWindow;
        return window == null || window.canFinish(now, budgetNanos);
    }

    /**
     * Returns whether requests can be served: the configuration and the targets are known, and the
     * process is not draining.
     */
    public boolean isReady() {
        return mConfig.isKnown() && mTargetsKnown && !isDraining();
    }
}
