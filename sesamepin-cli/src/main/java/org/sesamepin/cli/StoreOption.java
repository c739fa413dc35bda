package org.sesamepin.cli;

import io.vertx.core.Vertx;
import joptsimple.OptionSpec;
import org.sesamepin.core.config.PropertyDescriptor;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.node.spi.PlatformStore;
import org.sesamepin.node.spi.PluginRegistry;

/** The option {@code --store} and the client behind it. */
final class StoreOption {
    /** Longest wait for one answer of the store, milliseconds. */
    static final long REQUEST_TIMEOUT_MS = 5_000;

    private final OptionSpec<String> mAddress;
    private final OptionSpec<String> mKind;

    StoreOption(Arguments arguments) {
        mAddress =
                arguments
                        .parser()
                        .accepts("store", "IP number and port of the platform's store")
                        .withRequiredArg()
                        .defaultsTo("127.0.0.1:2379");
        mKind =
                arguments
                        .parser()
                        .accepts("store-kind", "kind of store")
                        .withRequiredArg()
                        .defaultsTo("etcd");
    }

    /** Opens the store; the caller closes it. */
    PlatformStore open(Vertx vertx, Arguments arguments) throws SesamepinException, UsageException {
        String address = arguments.get(mAddress);
        try {
            PropertyDescriptor.parseAddress(address);
        } catch (IllegalArgumentException e) {
            throw new UsageException("--store " + address + ": an IP number and port is wanted");
        }
        return PluginRegistry.load()
                .store(arguments.get(mKind))
                .open(vertx, address, REQUEST_TIMEOUT_MS);
    }
}
