package org.sesamepin.node.online;

import io.vertx.core.Vertx;
import org.sesamepin.node.admin.NodeMetrics;
import org.sesamepin.node.limit.RateLimiter;
import org.sesamepin.node.settings.CallerLimits;
import org.sesamepin.node.slot.SlotService;
import org.sesamepin.node.slot.TargetHealth;
import org.sesamepin.node.spi.PluginRegistry;
import org.sesamepin.node.target.TargetClient;

/**
 * What every online request needs.
 *
 * @param vertx the event loops
 * @param limits limits on what callers may send
 * @param authenticator finds the customer
 * @param sessions running requests
 * @param limiter the customers' rates
 * @param chooser orders targets
 * @param slots slots of targets
 * @param health failing targets
 * @param client connections to targets
 * @param plugins target protocols
 * @param metrics counters
 */
public record OnlineContext(
        Vertx vertx,
        CallerLimits limits,
        Authenticator authenticator,
        SessionRegistry sessions,
        RateLimiter limiter,
        TargetChooser chooser,
        SlotService slots,
        TargetHealth health,
        TargetClient client,
        PluginRegistry plugins,
        NodeMetrics metrics) {}
