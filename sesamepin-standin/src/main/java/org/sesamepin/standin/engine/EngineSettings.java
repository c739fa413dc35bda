package org.sesamepin.standin.engine;

/**
 * Size and speed of a stand-in engine.
 *
 * @param model name of the model
 * @param slots highest number of requests that generate tokens at the same time
 * @param tokenMs duration of one step, in which each active request generates one token,
 *     milliseconds
 * @param kvTokens capacity of the KV cache, tokens
 * @param reportLagMs interval between updates of the load report, and thus its highest age,
 *     milliseconds
 */
public record EngineSettings(
        String model, int slots, long tokenMs, long kvTokens, long reportLagMs) {}
