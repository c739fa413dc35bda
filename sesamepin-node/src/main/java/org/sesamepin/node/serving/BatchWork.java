package org.sesamepin.node.serving;

import java.util.Map;
import org.sesamepin.core.target.TargetInstance;

/** The batch items of this host, as the placement of requests sees them. */
public interface BatchWork {
    /** Suspends one item of this host at {@code target}; false when there is none. */
    boolean suspendOne(TargetInstance target);

    /** Runs one waiting item of {@code service} at {@code target}; false when none waits. */
    boolean runOne(String service, TargetInstance target);

    /** Returns the number of items that wait for a place, by service. */
    Map<String, Integer> waitingItems();

    /** Returns how soon the first waiting item is due, milliseconds; may be negative. */
    long firstDueInMs();
}
