package org.sesamepin.node.serving;

import io.vertx.core.Vertx;
import org.sesamepin.core.time.Ticker;
import org.sesamepin.node.prompt.PromptGuard;
import org.sesamepin.node.target.TargetClient;

/**
 * The components of a node that its requests use.
 *
 * @param vertx event loop and timers
 * @param ticker monotonic clock
 * @param protocol headers and store entries of the platform
 * @param state configuration and targets
 * @param loads loads of the targets
 * @param placementClient client that places requests on targets
 * @param targetClient HTTP client for targets
 * @param connector opens requests to targets, directly or through peers
 * @param rateLimiter rate limits of the customers
 * @param promptGuard quarantine of prompts under which targets ended
 * @param loopLag how long requests may have waited to be read
 * @param streamOrigins software at which streams began
 * @param metrics counters and histograms
 */
public record ServingContext(
        Vertx vertx,
        Ticker ticker,
        FleetProtocol protocol,
        ServingState state,
        LoadTable loads,
        PlacementClient placementClient,
        TargetClient targetClient,
        TargetConnector connector,
        CustomerRateLimiter rateLimiter,
        PromptGuard promptGuard,
        EventLoopLag loopLag,
        StreamOrigins streamOrigins,
        ServingMetrics metrics) {}
