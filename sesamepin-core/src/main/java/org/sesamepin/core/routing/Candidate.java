package org.sesamepin.core.routing;

import org.sesamepin.core.bundle.Target;

/**
 * A target as the choice sees it.
 *
 * @param target the target
 * @param freeSlots slots that an online request could have, as its owner said last
 * @param sentSinceReport requests that this host has sent to it since then
 * @param sameFailureDomain whether it runs in this host's failure domain
 * @param failing whether calls to it lately failed
 */
public record Candidate(
        Target target,
        int freeSlots,
        int sentSinceReport,
        boolean sameFailureDomain,
        boolean failing) {
    /** Returns the score by which candidates are compared; the higher one is better. */
    double score() {
        double free = freeSlots - sentSinceReport;
        double part = free / target.slots();
        double near = sameFailureDomain ? SAME_DOMAIN_BONUS : 0;
        return failing ? part - FAILING_PENALTY : part + near;
    }

    private static final double SAME_DOMAIN_BONUS = 0.02;
    private static final double FAILING_PENALTY = 100;
}
