package org.sesamepin.node.online;

import io.vertx.core.Vertx;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.limit.RateLimiter;
import org.sesamepin.node.prompt.SharedPromptGuard;
import org.sesamepin.node.settings.CallerLimits;
import org.sesamepin.node.slot.SlotService;
import org.sesamepin.node.slot.TargetHealth;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.node.target.TargetClient;

/**
 * The services of this node that every online request uses.
 *
 * @param vertx the event loops
 * @param limits limits on the size and the pace of what callers send
 * @param authenticator authenticates requests
 * @param activeRequests the running requests
 * @param rateLimiter limits the rate of each customer
 * @param targetChooser orders the targets that can serve a request
 * @param slots acquires and releases slots of targets
 * @param targetHealth tracks failing targets
 * @param targetClient opens requests to targets
 * @param promptGuard keeps prompts from targets that end under them
 * @param plugins the target protocols
 * @param metrics counters and distributions of requests
 */
public record OnlineContext(
        Vertx vertx,
        CallerLimits limits,
        Authenticator authenticator,
        ActiveRequestRegistry activeRequests,
        RateLimiter rateLimiter,
        TargetChooser targetChooser,
        SlotService slots,
        TargetHealth targetHealth,
        TargetClient targetClient,
        SharedPromptGuard promptGuard,
        PluginRegistry plugins,
        NodeMetrics metrics) {}
