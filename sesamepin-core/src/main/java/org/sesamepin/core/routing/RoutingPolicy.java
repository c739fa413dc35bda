package org.sesamepin.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/** Order in which targets are tried for a request. */
public enum RoutingPolicy {
    /** Tries the better of two candidates drawn at random, then the other one, then the rest. */
    TWO_CHOICES {
        @Override
        public List<Candidate> order(List<Candidate> candidates, RandomGenerator random) {
            List<Candidate> rest = new ArrayList<>(candidates);
            List<Candidate> drawn = new ArrayList<>();
            while (drawn.size() < 2 && !rest.isEmpty()) {
                drawn.add(rest.remove(random.nextInt(rest.size())));
            }
            drawn.sort(BEST_FIRST);
            rest.sort(BEST_FIRST);
            drawn.addAll(rest);
            return usableFirst(drawn);
        }
    },
    /** Tries the candidates in order of score, the largest fraction of free slots first. */
    MOST_FREE {
        @Override
        public List<Candidate> order(List<Candidate> candidates, RandomGenerator random) {
            List<Candidate> all = new ArrayList<>(candidates);
            all.sort(BEST_FIRST);
            return all;
        }
    };

    private static final Comparator<Candidate> BEST_FIRST =
            Comparator.comparingDouble(Candidate::score).reversed();

    /** Returns the candidates in the order in which they are tried. */
    public abstract List<Candidate> order(List<Candidate> candidates, RandomGenerator random);

    private static List<Candidate> usableFirst(List<Candidate> candidates) {
        List<Candidate> sorted = new ArrayList<>(candidates);
        sorted.sort(
                Comparator.comparing(c -> c.failing() || c.freeSlots() - c.sentSinceReport() <= 0));
        return sorted;
    }
}
