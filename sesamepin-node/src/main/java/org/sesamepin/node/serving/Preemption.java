package org.sesamepin.node.serving;

import org.sesamepin.core.target.TargetInstance;

/** Makes a batch item give its slot to an online request. */
@FunctionalInterface
public interface Preemption {
    /** Suspends one item of this host at {@code target}; false when there is none. */
    boolean suspendOne(TargetInstance target);
}
