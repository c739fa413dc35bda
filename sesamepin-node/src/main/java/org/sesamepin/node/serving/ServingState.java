package org.sesamepin.node.serving;

import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetDirectory;

/**
 * The snapshots that a request reads: configuration and targets. Each is immutable and replaced as
 * a whole, so that readers need no lock.
 */
public final class ServingState {
    private volatile ServingConfig mConfig = ServingConfig.NONE;
    private volatile TargetDirectory mTargets = TargetDirectory.EMPTY;
    private volatile boolean mTargetsKnown;
    private volatile boolean mDraining;

    public ServingConfig config() {
        return mConfig;
    }

    public TargetDirectory targets() {
        return mTargets;
    }

    /** Puts a newer configuration in force; returns false for one that is not newer. */
    public boolean activateIfNewer(ServingConfig config) {
        if (config.version() <= mConfig.version()) {
            return false;
        }
        mConfig = config;
        return true;
    }

    /** Replaces the targets. */
    public void setTargets(TargetDirectory targets) {
        mTargets = targets;
        mTargetsKnown = true;
    }

    /** Notes that the process stops. */
    public void drain() {
        mDraining = true;
    }

    public boolean isDraining() {
        return mDraining;
    }

    /** Tells whether requests can be served; false while anything needed is unknown. */
    public boolean isReady() {
        return mConfig.isKnown() && mTargetsKnown && !mDraining;
    }
}
