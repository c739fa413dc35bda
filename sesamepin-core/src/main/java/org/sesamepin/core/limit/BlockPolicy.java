package org.sesamepin.core.limit;

/** How many tokens a host asks of a customer's coordinator at once. */
public enum BlockPolicy {
    /** Asks for each request: nothing is left unspent, and each admission waits for an answer. */
    PER_REQUEST {
        @Override
        public double wanted(double cost, double demandPerSecond, double burst) {
            return cost;
        }
    },
    /** Asks for a fixed part of the burst: few messages, but an idle host holds tokens. */
    FIXED_BLOCK {
        @Override
        public double wanted(double cost, double demandPerSecond, double burst) {
            return Math.max(cost, Math.ceil(burst * FIXED_PART));
        }
    },
    /** Asks for what the host will need in a short time, bounded by a part of the burst. */
    ADAPTIVE_BLOCK {
        @Override
        public double wanted(double cost, double demandPerSecond, double burst) {
            double need = Math.floor(demandPerSecond * AHEAD_SECONDS);
            return Math.max(cost, Math.min(need, Math.floor(burst * LARGEST_PART)));
        }
    };

    private static final double FIXED_PART = 0.1;
    private static final double LARGEST_PART = 0.125;
    private static final double AHEAD_SECONDS = 0.1;

    /**
     * Returns how many tokens to ask for.
     *
     * @param cost tokens that the waiting requests need
     * @param demandPerSecond tokens lately demanded on this host, per second
     * @param burst the customer's burst
     */
    public abstract double wanted(double cost, double demandPerSecond, double burst);
}
