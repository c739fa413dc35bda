package org.sesamepin.node.prompt;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Finds out whether some of the registered targets of a service have ended, by connecting. */
final class OutageCheck {
    /** Targets that are tried. */
    private static final int MAX_TARGETS = 6;

    /** Tries to connect to a target. */
    interface Connector {
        /** Returns whether the target refuses connections. */
        Future<Boolean> isRefusing(LostTarget target);
    }

    private final Connector mConnector;
    private final Random mRandom;

    OutageCheck(Connector connector, Random random) {
        mConnector = connector;
        mRandom = random;
    }

    /** Returns whether a target refuses connections. */
    Future<Boolean> isRefusing(LostTarget target) {
        return mConnector.isRefusing(target);
    }

    /** Returns whether one of some of the targets, drawn at random, refuses connections. */
    Future<Boolean> anyEnded(List<LostTarget> targets) {
        List<LostTarget> drawn = new ArrayList<>(targets);
        Collections.shuffle(drawn, mRandom);
        List<Future<Boolean>> refusals = new ArrayList<>();
        for (LostTarget target : drawn.subList(0, Math.min(MAX_TARGETS, drawn.size()))) {
            refusals.add(mConnector.isRefusing(target));
        }
        return Future.join(refusals)
                .map(all -> refusals.stream().anyMatch(Future::result))
                .otherwise(false);
    }
}
