package org.sesamepin.node.serving;

import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.TargetSoftware;

/**
 * Where a stream began.
 *
 * @param software software of the target that wrote its first event
 * @param customer name of the customer whose stream it is; null for an anonymous caller
 */
public record StreamOrigin(TargetSoftware software, @Nullable String customer) {}
