package org.sesamepin.core.bundle;

/**
 * A model that targets serve.
 *
 * @param name the model's name as callers give it
 * @param progressTimeoutMs longest silence of a stream before it counts as dead, milliseconds
 * @param queueTimeoutMs longest wait of an online request for a slot, milliseconds
 * @param requestTimeoutMs longest time for a whole answer, milliseconds
 */
public record Model(
        String name, long progressTimeoutMs, long queueTimeoutMs, long requestTimeoutMs) {}
