package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.target.TargetClient;

/**
 * The parts of a node that its requests use.
 *
 * @param vertx event loop and timers
 * @param ticker monotonic clock
 * @param protocol how targets are spoken to
 * @param state configuration and targets
 * @param loads load of the targets
 * @param placementClient choice of targets
 * @param targetClient connections to targets
 * @param rateLimiter the customers' rates
 * @param metrics counters
 */
public record ServingContext(
        Vertx vertx,
        Ticker ticker,
        FleetProtocol protocol,
        ServingState state,
        LoadTable loads,
        PlaceDesk placementClient,
        TargetClient targetClient,
        RateDesk rateLimiter,
        ServingMetrics metrics) {}
