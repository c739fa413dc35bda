package org.sesamepin.core.prompt;

/**
 * A run of an item at a target.
 *
 * @param host the host that sent it
 */
record VirtualRun(VirtualItem item, VirtualHost host, VirtualTargets.Target target, long startMs) {}
