package org.sesamepin.node.spi;

import io.vertx.core.Vertx;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** The kernel's table of providers, filled by the plug-ins on the class path. */
public final class PluginRegistry {
    /** Opens a store. */
    @FunctionalInterface
    public interface StoreFactory {
        /** Opens a client of the store at {@code address}, an IP number with port. */
        PlatformStore open(Vertx vertx, String address, long timeoutMs);
    }

    /** Opens a list of hosts. */
    @FunctionalInterface
    public interface HostListFactory {
        /** Opens a client of the list at {@code address}, an IP number with port. */
        HostList open(Vertx vertx, String address, long timeoutMs);
    }

    private final Map<String, StoreFactory> mStores = new TreeMap<>();
    private final Map<String, HostListFactory> mHostLists = new TreeMap<>();
    private final Map<String, TargetProtocol> mProtocols = new TreeMap<>();

    /** Loads every plug-in on the class path. */
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
    public void addProtocol(String name, TargetProtocol protocol) {
        mProtocols.put(name, protocol);
    }

    /** Returns the kind of store {@code name}. */
    public StoreFactory storeFactory(String name) throws SesamepinException {
        return find(mStores, name, "store");
    }

    /** Returns the kind of host list {@code name}. */
    public HostListFactory hostList(String name) throws SesamepinException {
        return find(mHostLists, name, "host list");
    }

    /** Returns the target protocol {@code name}. */
    public TargetProtocol targetProtocol(String name) throws SesamepinException {
        return find(mProtocols, name, "target protocol");
    }

    private static <T> T find(Map<String, T> table, String name, String what)
            throws SesamepinException {
        T found = table.get(name);
        if (found == null) {
            throw new SesamepinException(
                    Step.START, name, "no such " + what + "; known are " + table.keySet());
        }
        return found;
    }
}
