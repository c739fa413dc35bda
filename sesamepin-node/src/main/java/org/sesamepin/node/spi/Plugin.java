package org.sesamepin.node.spi;

/** A plug-in found with {@link java.util.ServiceLoader}; it registers what it provides. */
public interface Plugin {
    /** Registers this plug-in's providers under the names used in settings and bundles. */
    void register(PluginRegistry registry);
}
