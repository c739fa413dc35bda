package org.sesamepin.standin.engine;

/**
 * Size and speed of a stand-in engine.
 *
 * @param model name of the model
 * @param slots requests that are worked on at once
 * @param tokenMs time of one step, in which each active request gains a token, milliseconds
 * @param kvTokens tokens that fit into the KV cache at once
 * @param reportLagMs age of the load reports, milliseconds
 */
public record EngineSettings(
        String model, int slots, long tokenMs, long kvTokens, long reportLagMs) {}
