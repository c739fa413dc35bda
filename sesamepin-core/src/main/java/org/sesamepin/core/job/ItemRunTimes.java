package org.sesamepin.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Run times of batch items by route, learned from the items that the hosts have completed. They
 * tell how soon an item has to start to be done in time. Without them, an overloaded fleet would
 * run items in order of their due times and finish each of them slightly too late. Hosts tell each
 * other their averages: slots go to the host with the least slack, so a host that expects shorter
 * run times than the others would get its slots too late.
 *
 * <p>Not thread-safe.
 */
public final class ItemRunTimes {
    private static final double GAIN = 0.1;

    /**
     * Smallest part of an average item that an item still needs, however many events it has: the
     * sizes of items differ.
     */
    private static final double MIN_REMAINING_FRACTION = 0.1;

    /** Part by which the averages of another host are adopted each time it tells them. */
    private static final double ADOPTION_GAIN = 0.2;

    /**
     * Average item of a route.
     *
     * @param events number of events
     * @param msPerEvent time for an event, suspensions included, milliseconds
     */
    public record Averages(double events, double msPerEvent) {
        private Averages towards(Averages other, double gain) {
            return new Averages(
                    events + gain * (other.events - events),
                    msPerEvent + gain * (other.msPerEvent - msPerEvent));
        }
    }

    private final Map<String, Averages> mAveragesByRoute = new HashMap<>();

    /**
     * Records the completion of an item.
     *
     * @param events number of events of the item
     * @param runMs time from its first start to its end, suspensions included, milliseconds
     */
    public void recordCompletion(String route, long events, double runMs) {
        merge(route, new Averages(events, runMs / Math.max(1, events)), GAIN);
    }

    /** Moves the averages towards those that another host has learned. */
    public void adopt(Map<String, Averages> averagesByRoute) {
        averagesByRoute.forEach((route, averages) -> merge(route, averages, ADOPTION_GAIN));
    }

    private void merge(String route, Averages averages, double gain) {
        mAveragesByRoute.merge(route, averages, (known, added) -> known.towards(added, gain));
    }

    /** Returns the averages by route. */
    public Map<String, Averages> averagesByRoute() {
        return Map.copyOf(mAveragesByRoute);
    }

    /**
     * Returns how long an item is expected to run until its end, milliseconds; 0 while no item of
     * the route has been completed.
     *
     * @param lastEventId id of the last event received for the item; 0 when there is none
     */
    public long remainingMs(String route, long lastEventId) {
        Averages known = mAveragesByRoute.get(route);
        if (known == null) {
            return 0;
        }
        double remainingEvents =
                Math.max(known.events() * MIN_REMAINING_FRACTION, known.events() - lastEventId);
        return Math.round(remainingEvents * known.msPerEvent());
    }
}
