package org.sesamepin.node.prompt;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.sesamepin.core.prompt.PromptParts;
import org.sesamepin.core.prompt.TargetEnd;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the end of a target's process from a connection that was lost otherwise: the target closed
 * connections with requests on them and refuses new ones right after. A cut network path does not
 * answer, and a target that resets a connection accepts the next one. Confined to the event loop.
 */
final class TargetEndDetector implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TargetEndDetector.class);

    /** Time in which the other connections of an ended target are found closed as well. */
    private static final long COLLECT_MS = 25;

    private static final int CONNECT_TIMEOUT_MS = 300;

    /** What a connection attempt says about a target that closed its connections. */
    private enum Outcome {
        /** The target refuses connections. */
        ENDED,
        /** The target accepts connections. */
        REACHABLE,
        /** Nothing answers, which a cut network path explains as well. */
        UNKNOWN;

        private String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final Vertx mVertx;
    private final NetClient mClient;
    private final EndConfirmation mConfirmation;
    private final Consumer<TargetEnd> mOnEnd;
    private final Map<String, List<TargetEnd.Run>> mLostRuns = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param confirmation decides whether a target that refuses connections has ended
     * @param onEnd receives each end of a target
     */
    TargetEndDetector(Vertx vertx, EndConfirmation confirmation, Consumer<TargetEnd> onEnd) {
        mVertx = vertx;
        mClient =
                vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
        mConfirmation = confirmation;
        mOnEnd = onEnd;
    }

    /** Records that a target closed the connection on which it ran a request. */
    void recordLostRun(LostTarget target, PromptParts prompt, long events) {
        List<TargetEnd.Run> runs = mLostRuns.get(target.id());
        if (runs == null) {
            runs = new ArrayList<>();
            mLostRuns.put(target.id(), runs);
            mVertx.setTimer(COLLECT_MS, t -> check(target));
        }
        runs.add(TargetEnd.Run.afterEvents(prompt, events));
    }

    private void check(LostTarget target) {
        connect(target)
                .onSuccess(
                        outcome -> {
                            if (outcome == Outcome.ENDED) {
                                confirm(target);
                            } else {
                                finish(target, outcome);
                            }
                        });
    }

    /** Returns whether a target refuses connections. */
    Future<Boolean> isRefusing(LostTarget target) {
        return connect(target).map(outcome -> outcome == Outcome.ENDED);
    }

    private Future<Outcome> connect(LostTarget target) {
        return mClient.connect(target.address().getPort(), target.address().getHostString())
                .compose(NetSocket::close)
                .map(Outcome.REACHABLE)
                .otherwise(e -> isRefusal(e) ? Outcome.ENDED : Outcome.UNKNOWN);
    }

    private void confirm(LostTarget target) {
        mConfirmation
                .hasEnded(target)
                .onComplete(
                        done -> {
                            boolean ended = done.succeeded() && done.result();
                            finish(target, ended ? Outcome.ENDED : Outcome.UNKNOWN);
                        });
    }

    private static boolean isRefusal(Throwable e) {
        return e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
    }

    private void finish(LostTarget target, Outcome outcome) {
        List<TargetEnd.Run> runs = mLostRuns.remove(target.id());
        if (runs == null) {
            return;
        }
        TargetEnd end = new TargetEnd(target.service(), target.id(), runs);
        LOG.info(
                "step=target-end target={} service={} requests={} prompts={} outcome={}",
                end.target(),
                end.service(),
                runs.size(),
                runs.stream().map(run -> run.parts().label()).distinct().toList(),
                outcome.label());
        if (outcome == Outcome.ENDED) {
            mOnEnd.accept(end);
        }
    }

    @Override
    public void close() {
        mClient.close();
    }
}
