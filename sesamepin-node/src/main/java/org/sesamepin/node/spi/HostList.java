package org.sesamepin.node.spi;

import io.vertx.core.Future;
import java.util.Map;

/** The platform's list of hosts; it lags behind the actual state of the hosts. */
public interface HostList extends AutoCloseable {
    /** State of a host on the list. */
    enum State {
        LIVE,
        LEAVING
    }

    /** Reads the list; returns the state by name or address of the host. */
    Future<Map<String, State>> read();

    @Override
    void close();
}
