package org.sesamepin.core.limit;

/** Decides how many tokens a host requests from a customer's coordinator at once. */
public enum BlockPolicy {
    /**
     * Requests tokens for each call alone: none stay unused, but each admission waits for a reply.
     */
    PER_REQUEST {
        @Override
        public double tokensToRequest(double cost, double demandPerSecond, double burst) {
            return cost;
        }
    },
    /** Requests a fixed fraction of the burst: few messages, but an idle host holds tokens. */
    FIXED_BLOCK {
        @Override
        public double tokensToRequest(double cost, double demandPerSecond, double burst) {
            return Math.max(cost, Math.ceil(burst * FIXED_BURST_FRACTION));
        }
    },
    /** Requests the expected demand of the near future, limited to a fraction of the burst. */
    ADAPTIVE_BLOCK {
        @Override
        public double tokensToRequest(double cost, double demandPerSecond, double burst) {
            double expectedDemand = Math.floor(demandPerSecond * LOOKAHEAD_SECONDS);
            return Math.max(cost, Math.min(expectedDemand, Math.floor(burst * MAX_BURST_FRACTION)));
        }
    };

    private static final double FIXED_BURST_FRACTION = 0.1;
    private static final double MAX_BURST_FRACTION = 0.125;
    private static final double LOOKAHEAD_SECONDS = 0.1;

    /**
     * Returns how many tokens to request; never fewer than {@code cost}.
     *
     * @param cost tokens that the waiting requests need
     * @param demandPerSecond recent demand on this host, in tokens per second
     * @param burst the customer's burst, in tokens
     */
    public abstract double tokensToRequest(double cost, double demandPerSecond, double burst);
}
