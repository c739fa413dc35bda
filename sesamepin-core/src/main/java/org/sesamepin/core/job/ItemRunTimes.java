package org.sesamepin.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Run times of batch items by route, learned from the items that this host has completed. They tell
 * how soon an item has to start to be done in time. Without them, an overloaded fleet would run
 * items in order of their due times and finish each of them slightly too late.
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

    private record Averages(double events, double msPerEvent) {
        Averages with(double newEvents, double newMsPerEvent) {
            return new Averages(
                    events + GAIN * (newEvents - events),
                    msPerEvent + GAIN * (newMsPerEvent - msPerEvent));
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
        double msPerEvent = runMs / Math.max(1, events);
        Averages known = mAveragesByRoute.get(route);
        Averages updated =
                known == null ? new Averages(events, msPerEvent) : known.with(events, msPerEvent);
        mAveragesByRoute.put(route, updated);
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
