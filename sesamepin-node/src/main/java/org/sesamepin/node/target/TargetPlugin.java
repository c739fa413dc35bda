package org.sesamepin.node.target;

import org.sesamepin.node.spi.Plugin;
import org.sesamepin.node.spi.PluginRegistry;

/** Registers the target protocols {@code openai} and {@code plain}. */
public final class TargetPlugin implements Plugin {
    @Override
    public void register(PluginRegistry registry) {
        registry.addTargetProtocol("openai", new OpenAiProtocol());
        registry.addTargetProtocol("plain", new PlainProtocol());
    }
}
