package org.sesamepin.core.prompt;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A target whose process ended while it ran requests, as one host saw it.
 *
 * @param service service of the target
 * @param target incarnation of the target
 * @param runs the host's requests that ran there
 */
public record TargetEnd(String service, String target, List<Run> runs) {
    /** Number of events up to which a request has only begun to be answered. */
    private static final long MAX_EVENTS_AT_BEGIN = 2;

    private static final double WEIGHT_AT_BEGIN = 1;

    /** Weight of a request that the target had answered for a while before it ended. */
    private static final double WEIGHT_LATER = 0.5;

    /** Copies the list. */
    public TargetEnd {
        runs = List.copyOf(runs);
    }

    /**
     * A request that ran at the target when it ended.
     *
     * @param parts shared parts of its prompt
     * @param weight how strongly the end speaks against these parts, 0 to 1
     */
    public record Run(PromptParts parts, double weight) {
        /** Returns the run of a request of whose answer {@code events} events had arrived. */
        public static Run afterEvents(PromptParts parts, long events) {
            return new Run(parts, events <= MAX_EVENTS_AT_BEGIN ? WEIGHT_AT_BEGIN : WEIGHT_LATER);
        }
    }

    /** Returns all parts of the runs. */
    Set<String> parts() {
        Set<String> parts = new TreeSet<>();
        runs.forEach(run -> parts.addAll(run.parts().shared()));
        return parts;
    }

    /**
     * Returns the greatest weight of a run with {@code part}; 0 when none has it. The whole content
     * of a request has full weight at any time of its run: that the same content runs at several
     * targets when they end is no chance.
     */
    double weightOf(String part) {
        if (PromptParts.isWhole(part)) {
            return parts().contains(part) ? WEIGHT_AT_BEGIN : 0;
        }
        return runs.stream()
                .filter(run -> run.parts().shared().contains(part))
                .mapToDouble(Run::weight)
                .max()
                .orElse(0);
    }
}
