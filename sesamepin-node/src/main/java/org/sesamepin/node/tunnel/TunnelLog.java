package org.sesamepin.node.tunnel;

import io.vertx.core.Vertx;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs tunnels that did not open: the first ones of each second in a line each, and the others in
 * one line with their numbers by outcome. Confined to the event loop.
 */
public final class TunnelLog {
    private static final Logger LOG = LoggerFactory.getLogger(TunnelLog.class);
    private static final long WINDOW_MS = 1_000;
    private static final int MAX_LINES_PER_WINDOW = 3;

    private final Vertx mVertx;
    private final String mSide;
    private final Map<String, Integer> mOthers = new TreeMap<>();
    private int mLines;

    /**
     * Creates a log.
     *
     * @param side which end of the tunnels this host is
     */
    public TunnelLog(Vertx vertx, String side) {
        mVertx = vertx;
        mSide = side;
    }

    /** Records a tunnel that did not open. */
    public void recordFailure(String request, String peer, String target, String outcome) {
        if (mLines == 0) {
            mVertx.setTimer(WINDOW_MS, t -> endWindow());
        }
        if (mLines == MAX_LINES_PER_WINDOW) {
            mOthers.merge(outcome, 1, Integer::sum);
            return;
        }
        mLines++;
        LOG.info(
                "step=tunnel side={} request={} peer={} target={} outcome={}",
                mSide,
                request,
                peer,
                target,
                outcome);
    }

    private void endWindow() {
        mLines = 0;
        if (!mOthers.isEmpty()) {
            LOG.info("step=tunnel side={} more={} outcome=not-opened", mSide, mOthers);
            mOthers.clear();
        }
    }
}
