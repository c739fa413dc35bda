package org.sesamepin.core.target;

import java.net.InetSocketAddress;

/**
 * One incarnation of a target, as it registered itself.
 *
 * @param id id under which it registered
 * @param startedAtMs start of this incarnation, milliseconds of the Unix epoch; a new value under
 *     the same id is another incarnation that knows nothing of the former one
 * @param service service that it belongs to
 * @param address where it listens
 * @param failureDomain where it runs
 * @param slots requests that it runs at once
 * @param state whether it takes requests
 * @param warmUpMs how much longer it stays slow after its start, milliseconds
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
    /** Returns a key that tells incarnations apart. */
    public String incarnation() {
        return id + '@' + startedAtMs;
    }
}
