package org.sesamepin.node.spi;

import io.vertx.core.Future;
import java.util.Map;

/** The platform's lagging list of hosts. */
public interface HostList extends AutoCloseable {
    /** State of a host on the list. */
    enum State {
        LIVE,
        LEAVING
    }

    /** Reads the list: state by host or by address. */
    Future<Map<String, State>> read();

    @Override
    void close();
}
