package org.sesamepin.core.serving;

/**
 * The software of targets. What two versions write does not fit together, so a stream goes on only
 * at targets of the software that began it.
 *
 * @param service service to which the targets belong
 * @param version version of their software; versions have no order, and equal names in two services
 *     are unrelated
 */
public record TargetSoftware(String service, String version) {}
