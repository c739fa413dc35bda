package org.sesamepin.node.tunnel;

/** Receives what direct connections to targets show of this host's path to them. */
public interface DirectPath {
    /** Records that a direct connection to a target was made. */
    void recordConnected();

    /** Records that a direct connection to a target failed or was not made in time. */
    void recordFailed(String incarnation);

    /** Returns whether this host is cut off from the targets. */
    boolean isIsolated();
}
