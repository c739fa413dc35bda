package org.sesamepin.core.target;

import java.util.Set;

/**
 * The numbers of one coordinator's grants that a host has handled or given up. A report that
 * carries it counts the requests of these grants, as far as they run.
 *
 * @param upTo all numbers up to this one; 0 for none
 * @param beyond single numbers above {@code upTo}
 */
public record GrantReceipt(long upTo, Set<Long> beyond) {
    /** The receipt of a host that has handled no grant. */
    public static final GrantReceipt NONE = new GrantReceipt(0, Set.of());

    /** Copies {@code beyond}. */
    public GrantReceipt {
        beyond = Set.copyOf(beyond);
    }

    /** Returns whether the grant with {@code number} was handled or given up. */
    public boolean contains(long number) {
        return number <= upTo || beyond.contains(number);
    }
}
