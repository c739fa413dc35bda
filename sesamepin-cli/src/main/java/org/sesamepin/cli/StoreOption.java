package org.sesamepin.cli;

import io.vertx.core.Vertx;
import joptsimple.OptionSpec;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.PluginRegistry;

/** The options {@code --store} and {@code --store-kind}, and the store client that they select. */
final class StoreOption {
    /** Longest wait for one response of the store, milliseconds. */
    static final long REQUEST_TIMEOUT_MS = 5_000;

    private final OptionSpec<String> mAddress;
    private final OptionSpec<String> mKind;

    StoreOption(Arguments arguments) {
        mAddress =
                arguments
                        .parser()
                        .accepts("store", "IP address and port of the platform's store")
                        .withRequiredArg()
                        .defaultsTo("127.0.0.1:2379");
        mKind =
                arguments
                        .parser()
                        .accepts("store-kind", "type of the store client")
                        .withRequiredArg()
                        .defaultsTo("etcd");
    }

    /** Returns whether the user named a store. */
    boolean isGiven(Arguments arguments) {
        return arguments.has(mAddress);
    }

    /**
     * Opens a client of the store, which the caller closes.
     *
     * @throws UsageException when the value of {@code --store} is not an IP address and a port
     */
    PlatformStore open(Vertx vertx, Arguments arguments) throws SesamepinException, UsageException {
        String address = arguments.get(mAddress);
        try {
            PropertyDescriptor.parseAddress(address);
        } catch (IllegalArgumentException e) {
            throw new UsageException("--store " + address + ": expected an IP address and a port");
        }
        return PluginRegistry.load()
                .storeFactory(arguments.get(mKind))
                .open(vertx, address, REQUEST_TIMEOUT_MS);
    }
}
