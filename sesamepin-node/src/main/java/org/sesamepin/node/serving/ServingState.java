package org.sesamepin.node.serving;

import org.sesamepin.core.serving.ServingConfig;
import org.sesamepin.core.target.TargetDirectory;

/**
 * The configuration and the targets that requests read. Each is an immutable snapshot that is
 * replaced as a whole, so that readers need no lock.
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

    /** Replaces the registered targets. */
    public void setTargets(TargetDirectory targets) {
        mTargets = targets;
        mTargetsKnown = true;
    }

    /** Starts draining: the process is about to stop. */
    public void drain() {
        mDraining = true;
    }

    public boolean isDraining() {
        return mDraining;
    }

    /**
     * Returns whether requests can be served: the configuration and the targets are known, and the
     * process is not draining.
     */
    public boolean isReady() {
        return mConfig.isKnown() && mTargetsKnown && !mDraining;
    }
}
