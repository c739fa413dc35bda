package org.sesamepin.node.serving;

import java.util.Map;
import org.sesamepin.core.job.ItemRunTimes;
import org.sesamepin.core.target.TargetInstance;

/** The operations on this host's batch items that the placement of requests needs. */
public interface BatchWork {
    /**
     * Suspends one running item of this host at {@code target}; returns false when there is none.
     */
    boolean suspendOne(TargetInstance target);

    /**
     * Starts one waiting item of {@code service} at {@code target}; returns false when none waits.
     */
    boolean runOne(String service, TargetInstance target);

    /** Returns the number of items that wait for a target, by service. */
    Map<String, Integer> waitingItems();

    /**
     * Returns the time until the first waiting item is due, milliseconds; negative when it is
     * overdue.
     */
    long firstDueInMs();

    /** Returns the run times of items that this host knows. */
    ItemRunTimes runTimes();
}
