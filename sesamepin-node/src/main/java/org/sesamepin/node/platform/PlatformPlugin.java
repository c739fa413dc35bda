package org.sesamepin.node.platform;

import org.sesamepin.node.spi.Plugin;
import org.sesamepin.node.spi.PluginRegistry;

/** Registers the store {@code etcd} and the host list {@code http}. */
public final class PlatformPlugin implements Plugin {
    @Override
    public void register(PluginRegistry registry) {
        registry.addStore("etcd", EtcdStore::new);
        registry.addHostList("http", HttpHostList::new);
    }
}
