package org.sesamepin.node.peer;

import io.vertx.core.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sesamepin.core.time.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs which hosts send frames that this build cannot decode. Such a host connects again at once,
 * so that there is at most one line per host and minute.
 */
final class InvalidFrameLog {
    private static final Logger LOG = LoggerFactory.getLogger(InvalidFrameLog.class);
    private static final long INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** Number of hosts that are remembered, above the number of hosts in a fleet. */
    private static final int MAX_HOSTS = 256;

    private final Ticker mTicker;
    private final Map<String, Long> mLoggedAtByHost =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_HOSTS;
                }
            };

    InvalidFrameLog(Ticker ticker) {
        mTicker = ticker;
    }

    /**
     * Logs the sender of a frame whose connection is closed, unless a line about its host was
     * written in the last minute. May be called on any event loop.
     */
    synchronized void record(SocketAddress sender) {
        long now = mTicker.nanoTime();
        String host = String.valueOf(sender.hostAddress());
        Long loggedAt = mLoggedAtByHost.get(host);
        if (loggedAt != null && now - loggedAt < INTERVAL_NANOS) {
            return;
        }
        mLoggedAtByHost.remove(host);
        mLoggedAtByHost.put(host, now);
        LOG.warn("step=peer-call peer={}:{} outcome=unusable", host, sender.port());
    }
}
