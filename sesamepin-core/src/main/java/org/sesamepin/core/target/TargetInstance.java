package org.sesamepin.core.target;

import java.net.InetSocketAddress;

/**
 * Registration of one incarnation of a target.
 *
 * @param id id under which the target registered
 * @param startedAtMs start of this incarnation, milliseconds since the Unix epoch; a new value
 *     under the same id is another incarnation without the state of the former one
 * @param service service to which the target belongs
 * @param address address on which it listens
 * @param failureDomain failure domain in which it runs
 * @param slots requests that it runs concurrently
 * @param state whether it accepts requests
 * @param warmUpMs time for which it is still slow after its start, milliseconds
 */
public record TargetInstance(
        String id,
        long startedAtMs,
        String service,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        TargetState state,
        long warmUpMs) {
    /** Returns a key that is unique for each incarnation of each target. */
    public String incarnation() {
        return id + '@' + startedAtMs;
    }
}
