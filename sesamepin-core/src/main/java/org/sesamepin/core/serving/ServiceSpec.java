package org.sesamepin.core.serving;

/**
 * A service as the operators configure it.
 *
 * @param name name of the service
 * @param slots requests that one of its targets runs concurrently; 0 where each target reports its
 *     own
 * @param coldStartMs time for which one of its targets is cold after it starts, milliseconds; 0
 *     where the configuration states none
 * @param coldPerS requests per second that one of its targets tolerates from all hosts together
 *     while it is cold; 0 for no limit
 */
public record ServiceSpec(String name, int slots, long coldStartMs, double coldPerS) {
    /** Creates a service whose targets are never cold. */
    public ServiceSpec(String name, int slots) {
        this(name, slots, 0, 0);
    }

    /** Returns whether its targets can be cold. */
    public boolean hasColdTargets() {
        return coldStartMs > 0 || coldPerS > 0;
    }
}
