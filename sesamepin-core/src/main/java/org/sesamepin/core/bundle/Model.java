package org.sesamepin.core.bundle;

/**
 * A model served by targets.
 *
 * @param name the name by which callers request the model
 * @param progressTimeoutMs time without progress after which a stream counts as dead, in
 *     milliseconds
 * @param queueTimeoutMs longest time an online request waits for a slot, in milliseconds
 * @param requestTimeoutMs longest time until a response is complete, in milliseconds
 */
public record Model(
        String name, long progressTimeoutMs, long queueTimeoutMs, long requestTimeoutMs) {}
