package org.sesamepin.core.target;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Immutable snapshot of the operator's orders to evacuate failure domains, as they were at one
 * revision of the store. Of two snapshots the one of the later revision counts, whether it was read
 * from the store or came from a peer.
 *
 * @param domains names of the failure domains whose targets get no requests
 * @param revision revision of the store at which these were all orders; {@link #UNREAD} before the
 *     first one was read
 */
public record EvacuationOrders(Set<String> domains, long revision) {
    /** Stands for the revision of orders that were never read. */
    public static final long UNREAD = -1;

    /** The orders of a host that has read none yet. */
    public static final EvacuationOrders NONE = new EvacuationOrders(Set.of(), UNREAD);

    /**
     * A change of one order in the store.
     *
     * @param domain name of the failure domain
     * @param ordered whether its evacuation was ordered; false when the order was taken back
     * @param revision revision of the store at which the change took effect
     */
    public record Change(String domain, boolean ordered, long revision) {}

    /** Creates a snapshot with a copy of {@code domains}. */
    public EvacuationOrders {
        domains = Set.copyOf(domains);
    }

    /** Returns whether any orders were read. */
    public boolean isKnown() {
        return revision > UNREAD;
    }

    /**
     * Returns the orders that hold after all orders of one revision were read.
     *
     * @return this snapshot unless {@code readRevision} is later than its own
     */
    public EvacuationOrders replacedBy(Set<String> readDomains, long readRevision) {
        return readRevision > revision ? new EvacuationOrders(readDomains, readRevision) : this;
    }

    /**
     * Returns the orders that hold after changes that a watch has reported. Changes that are not
     * later than this snapshot are part of it already: a listing or a peer may have been faster.
     *
     * @param changes changes in the order of their revisions; several may have the same one
     */
    public EvacuationOrders after(Collection<Change> changes) {
        Set<String> changed = new HashSet<>(domains);
        long latest = revision;
        for (Change change : changes) {
            if (change.revision() <= revision) {
                continue;
            }
            latest = Math.max(latest, change.revision());
            if (change.ordered()) {
                changed.add(change.domain());
            } else {
                changed.remove(change.domain());
            }
        }
        return latest == revision ? this : new EvacuationOrders(changed, latest);
    }

    /** Returns the failure domains that are evacuated here and not in {@code other}. */
    public Set<String> domainsNotIn(EvacuationOrders other) {
        Set<String> added = new HashSet<>(domains);
        added.removeAll(other.domains());
        return added;
    }
}
