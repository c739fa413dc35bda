package org.sesamepin.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.serving.CustomerSpec;

/**
 * Requests of a large fleet on a virtual clock: 82 customers with Zipf-distributed rates at 67
 * hosts of unequal capacity.
 */
final class RateWorkload {
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    static final int HOSTS = 67;
    private static final int CUSTOMERS = 82;
    private static final int MOST_POWERFUL_HOSTS = 6;
    private static final double LARGEST_RATE = 60;
    private static final double SMALLEST_RATE = 2;
    private static final double BURST_FACTOR = 1.85;

    /** Part of rate and burst that arrivals inside the rate use at most. */
    private static final double INSIDE = 0.9;

    /** One request, sent to a host at a time on the virtual clock in nanoseconds. */
    record Arrival(long at, String host, CustomerSpec customer) {}

    private RateWorkload() {}

    /**
     * Returns the capacity of each host: 6 most powerful ones, 20 of a second class, small ones.
     */
    static Map<String, Double> coresByHost() {
        Map<String, Double> cores = new HashMap<>();
        for (int i = 0; i < HOSTS; i++) {
            double own = i < MOST_POWERFUL_HOSTS ? 1.5 : i < 26 ? 0.75 : 0.27;
            cores.put("host-" + i, own);
        }
        return cores;
    }

    /** Returns the customers by name; the rate of the k-th is the largest divided by k. */
    static Map<String, CustomerSpec> customers() {
        Map<String, CustomerSpec> customers = new HashMap<>();
        for (int rank = 1; rank <= CUSTOMERS; rank++) {
            double rate = Math.max(SMALLEST_RATE, LARGEST_RATE / rank);
            String name = "customer-" + rank;
            customers.put(name, new CustomerSpec(name, List.of(), null, rate, rate));
        }
        return customers;
    }

    /**
     * Returns Poisson arrivals at {@code load} times each customer's rate, in seconds of 1.85 times
     * and of 0.15 times the mean.
     */
    static List<Arrival> arrivals(double load, long from, long until, Random random) {
        List<Arrival> arrivals = new ArrayList<>();
        for (CustomerSpec customer : customers().values()) {
            long phase = random.nextInt(2);
            double mean = load * customer.ratePerS();
            for (double at = from; at < until; ) {
                boolean burst = ((long) at / SECOND + phase) % 2 == 0;
                double factor = burst ? BURST_FACTOR : 2 - BURST_FACTOR;
                at += -Math.log(1 - random.nextDouble()) / (mean * factor) * SECOND;
                String host = "host-" + random.nextInt(HOSTS);
                arrivals.add(new Arrival((long) at, host, customer));
            }
        }
        arrivals.removeIf(arrival -> arrival.at() >= until);
        arrivals.sort(Comparator.comparingLong(Arrival::at));
        return arrivals;
    }

    /** Returns those arrivals that one bucket of nine tenths of rate and burst admits. */
    static List<Arrival> insideRate(List<Arrival> arrivals, long from) {
        Map<String, double[]> buckets = new HashMap<>();
        List<Arrival> inside = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            double burst = arrival.customer().burst() * INSIDE;
            double[] bucket =
                    buckets.computeIfAbsent(
                            arrival.customer().name(), c -> new double[] {burst / 2, from});
            double seconds = (arrival.at() - bucket[1]) / SECOND;
            double filled = bucket[0] + seconds * arrival.customer().ratePerS() * INSIDE;
            bucket[0] = Math.min(burst, filled);
            bucket[1] = arrival.at();
            if (bucket[0] >= 1) {
                bucket[0]--;
                inside.add(arrival);
            }
        }
        return inside;
    }
}
