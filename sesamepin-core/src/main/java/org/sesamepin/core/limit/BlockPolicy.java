package org.sesamepin.core.limit;

/** How many tokens a host asks of a customer's coordinator at once. */
public enum BlockPolicy {
    /** Asks for each request: nothing is left unspent, and each admission waits for an answer. */
    PER_REQUEST {
        @Override
        public double tokensToRequest(double cost, double demandPerSecond, double burst) {
            return cost;
        }
    },
    /** Asks for a fixed part of the burst: few messages, but an idle host holds tokens. */
    FIXED_BLOCK {
        @Override
        public double tokensToRequest(double cost, double demandPerSecond, double burst) {
            return Math.max(cost, Math.ceil(burst * FIXED_BURST_FRACTION));
        }
    },
    /** Asks for what the host will need in a short time, bounded by a part of the burst. */
    ADAPTIVE_BLOCK {
        @Override
        public double tokensToRequest(double cost, double demandPerSecond, double burst) {
            double need = Math.floor(demandPerSecond * LOOKAHEAD_SECONDS);
            return Math.max(cost, Math.min(need, Math.floor(burst * MAX_BURST_FRACTION)));
        }
    };

    private static final double FIXED_BURST_FRACTION = 0.1;
    private static final double MAX_BURST_FRACTION = 0.125;
    private static final double LOOKAHEAD_SECONDS = 0.1;

    /**
     * Returns how many tokens to ask for.
     *
     * @param cost tokens that the waiting requests need
     * @param demandPerSecond tokens lately demanded on this host, per second
     * @param burst the customer's burst
     */
    public abstract double tokensToRequest(double cost, double demandPerSecond, double burst);
}
