package org.sesamepin.node.tunnel;

import io.vertx.core.Future;

/** Receives what direct connections to targets show of this host's path to them. */
public interface DirectPath {
    /** Records that a direct connection to a target was made. */
    void recordConnected();

    /** Records that a direct connection to a target failed. */
    void recordFailed(String incarnation);

    /** Records that a direct connection to a target was neither made nor refused in time. */
    void recordSilent(String incarnation);

    /** Returns whether this host is cut off from the targets. */
    boolean isIsolated();

    /**
     * Returns whether this host reaches some target directly, so that one that it cannot reach is
     * failing itself.
     */
    Future<Boolean> isSound();
}
