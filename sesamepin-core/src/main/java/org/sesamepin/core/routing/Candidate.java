package org.sesamepin.core.routing;

import org.sesamepin.core.bundle.Target;

/**
 * A target with the state on which the selection is based.
 *
 * @param target the target
 * @param freeSlots slots that online requests could get, from the last report of the target's owner
 * @param sentSinceReport requests that this host has sent to it since that report
 * @param sameFailureDomain whether it runs in the failure domain of this host
 * @param failing whether recent calls to it failed
 */
public record Candidate(
        Target target,
        int freeSlots,
        int sentSinceReport,
        boolean sameFailureDomain,
        boolean failing) {
    /** Returns the score by which candidates are compared; higher is better. */
    double score() {
        double freeNow = freeSlots - sentSinceReport;
        double freeFraction = freeNow / target.slots();
        double domainBonus = sameFailureDomain ? SAME_DOMAIN_BONUS : 0;
        return failing ? freeFraction - FAILING_PENALTY : freeFraction + domainBonus;
    }

    private static final double SAME_DOMAIN_BONUS = 0.02;
    private static final double FAILING_PENALTY = 100;
}
