package org.sesamepin.node.spi;

/**
 * A plug-in, found by {@link java.util.ServiceLoader}, that registers implementations of stores,
 * host lists or target protocols.
 */
public interface Plugin {
    /** Registers this plug-in's implementations under the names used in settings and bundles. */
    void register(PluginRegistry registry);
}
