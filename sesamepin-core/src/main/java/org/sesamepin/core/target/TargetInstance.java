package org.sesamepin.core.target;

import java.net.InetSocketAddress;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Registration of one incarnation of a target.
 *
 * @param id id under which the target registered
 * @param startedAtMs start of this incarnation, milliseconds since the Unix epoch; a new value
 *     under the same id is another incarnation without the state of the former one
 * @param service service to which the target belongs
 * @param version version of its software; versions have no order, and equal names in two services
 *     are unrelated
 * @param address address on which it listens
 * @param failureDomain failure domain in which it runs
 * @param slots requests that it runs concurrently
 * @param state whether it accepts requests
 * @param warmUpMs time for which it is still cold, counted from when its entry was written,
 *     milliseconds; 0 when it is warm
 */
public record TargetInstance(
        String id,
        long startedAtMs,
        String service,
        String version,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        TargetState state,
        long warmUpMs) {
    /** Returns the software that it runs. */
    public TargetSoftware software() {
        return new TargetSoftware(service, version);
    }

    /** Returns a key that is unique for each incarnation of each target. */
    public String incarnation() {
        return id + '@' + startedAtMs;
    }

    /**
     * Returns the slots that batch items may use; at least one, since items for which all slots are
     * reserved would wait for good.
     *
     * @param reserved slots that batch items leave free where the target has more than one
     */
    public int slotsForBatch(int reserved) {
        return Math.max(1, slots - reserved);
    }
}
