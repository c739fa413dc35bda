package org.sesamepin.core.target;

/**
 * Divides slots between online requests and batch items while more items wait than the targets can
 * run at once. Otherwise each target keeps a slot free for online requests, and a request that
 * finds none preempts an item at once. With such a backlog, a slot that is kept free delays items
 * that are due, and an item that is preempted goes on seconds later. So, as long as online requests
 * end often enough, items get all slots, and an online request waits for the slot that the next one
 * leaves.
 *
 * @param waitingItems batch items of all hosts that wait for a slot
 * @param slots slots of all targets
 */
record BatchBacklog(int waitingItems, int slots) {
    /** Slots of a target that items leave free when online requests cannot wait. */
    private static final int RESERVED_SLOTS = 1;

    /** Fraction of its latency objective for which an online request may wait for a slot. */
    private static final double MAX_WAIT_FRACTION = 1.0 / 3;

    /**
     * Returns whether an online request that finds no free slot waits for one instead of preempting
     * an item.
     *
     * @param waitedNanos time that it has waited, nanoseconds
     * @param expectedNanos expected time until other online requests leave it a slot, nanoseconds
     * @param objectiveNanos its latency objective, nanoseconds
     */
    boolean letsRequestsWait(long waitedNanos, double expectedNanos, long objectiveNanos) {
        return waitingItems > slots
                && waitedNanos + expectedNanos <= objectiveNanos * MAX_WAIT_FRACTION;
    }

    /**
     * Returns the slots of a target that items leave free for online requests.
     *
     * @param expectedNanos expected time until online requests leave a slot, nanoseconds
     * @param objectiveNanos latency objective of the online requests, nanoseconds
     */
    int reservedSlots(double expectedNanos, long objectiveNanos) {
        return letsRequestsWait(0, expectedNanos, objectiveNanos) ? 0 : RESERVED_SLOTS;
    }
}
