package org.sesamepin.node.serving;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of a node that serves routes.
 *
 * @param host name of this host
 * @param failureDomain where it runs
 * @param callerAddress where callers connect
 * @param readyAddress where the balancer asks whether the node is ready
 * @param peerAddress where other hosts connect
 * @param seeds addresses of some hosts, which may be down; for a start while the store is away
 * @param metricsAddress where metrics are read
 * @param stopWithinMs time from the signal to stop until the process is ended, milliseconds
 * @param jobRetentionMs how long results of a job stay readable after it was accepted, milliseconds
 */
public record ServingSettings(
        String host,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
        List<InetSocketAddress> seeds,
        InetSocketAddress metricsAddress,
        long stopWithinMs,
        long jobRetentionMs) {}
