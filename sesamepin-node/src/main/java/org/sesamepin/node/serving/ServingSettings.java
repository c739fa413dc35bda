package org.sesamepin.node.serving;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of a node that serves routes.
 *
 * @param host name of this host
 * @param failureDomain failure domain in which this host runs
 * @param cores processor capacity of this host, in cores
 * @param callerAddress address on which this host listens for callers
 * @param readyAddress address on which this host answers the readiness check of the balancer
 * @param peerAddress address on which this host listens for other hosts
 * @param seeds peer addresses of some hosts, which may be down; used to reach the store when this
 *     host starts while it cannot reach the store itself
 * @param metricsAddress address on which this host serves its metrics
 * @param stopWithinMs time from the stop signal until the process is killed, milliseconds
 * @param jobRetentionMs how long the results of a job can be read after its acceptance,
 *     milliseconds
 * @param maxStoreValueBytes size of the largest value that the store takes, bytes
 */
public record ServingSettings(
        String host,
        String failureDomain,
        double cores,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
        List<InetSocketAddress> seeds,
        InetSocketAddress metricsAddress,
        long stopWithinMs,
        long jobRetentionMs,
        int maxStoreValueBytes) {}
