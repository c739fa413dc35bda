package org.sesamepin.node.spi;

import io.vertx.core.Vertx;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** The implementations of stores, host lists and target protocols that the plug-ins registered. */
public final class PluginRegistry {
    /** Creates clients of one kind of store. */
    @FunctionalInterface
    public interface StoreFactory {
        /** Creates a client of the store at {@code address}, an IP number with port. */
        PlatformStore open(Vertx vertx, String address, long timeoutMs);
    }

    /** Creates clients of one kind of host list. */
    @FunctionalInterface
    public interface HostListFactory {
        /** Creates a client of the list at {@code address}, an IP number with port. */
        HostList open(Vertx vertx, String address, long timeoutMs);
    }

    private final Map<String, StoreFactory> mStores = new TreeMap<>();
    private final Map<String, HostListFactory> mHostLists = new TreeMap<>();
    private final Map<String, TargetProtocol> mProtocols = new TreeMap<>();

    /** Creates a registry filled by every plug-in on the class path. */
    public static PluginRegistry load() {
        PluginRegistry registry = new PluginRegistry();
        for (Plugin plugin : ServiceLoader.load(Plugin.class)) {
            plugin.register(registry);
        }
        return registry;
    }

    /** Registers a kind of store. */
    public void addStore(String name, StoreFactory factory) {
        mStores.put(name, factory);
    }

    /** Registers a kind of host list. */
    public void addHostList(String name, HostListFactory factory) {
        mHostLists.put(name, factory);
    }

    /** Registers a target protocol. */
    public void addTargetProtocol(String name, TargetProtocol protocol) {
        mProtocols.put(name, protocol);
    }

    /**
     * Returns the factory of the kind of store {@code name}.
     *
     * @throws SesamepinException when no plug-in registered it
     */
    public StoreFactory storeFactory(String name) throws SesamepinException {
        return find(mStores, name, "store");
    }

    /**
     * Returns the factory of the kind of host list {@code name}.
     *
     * @throws SesamepinException when no plug-in registered it
     */
    public HostListFactory hostListFactory(String name) throws SesamepinException {
        return find(mHostLists, name, "host list");
    }

    /**
     * Returns the target protocol {@code name}.
     *
     * @throws SesamepinException when no plug-in registered it
     */
    public TargetProtocol targetProtocol(String name) throws SesamepinException {
        return find(mProtocols, name, "target protocol");
    }

    private static <T> T find(Map<String, T> implementations, String name, String kind)
            throws SesamepinException {
        T found = implementations.get(name);
        if (found == null) {
            throw new SesamepinException(
                    Step.START,
                    name,
                    "unknown " + kind + "; available are " + implementations.keySet());
        }
        return found;
    }
}
