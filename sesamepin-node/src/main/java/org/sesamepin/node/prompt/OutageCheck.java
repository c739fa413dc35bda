package org.sesamepin.node.prompt;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Finds out whether some of the registered targets of a service have ended. */
final class OutageCheck {
    /** Targets that are tried. */
    private static final int MAX_TARGETS = 6;

    /** Finds out whether one target has ended. */
    interface Check {
        /** Returns whether the target has ended. */
        Future<Boolean> hasEnded(LostTarget target);
    }

    private final Check mCheck;
    private final Random mRandom;

    OutageCheck(Check check, Random random) {
        mCheck = check;
        mRandom = random;
    }

    /** Returns whether a target has ended. */
    Future<Boolean> hasEnded(LostTarget target) {
        return mCheck.hasEnded(target);
    }

    /** Returns whether one of some of the targets, drawn at random, has ended. */
    Future<Boolean> anyEnded(List<LostTarget> targets) {
        List<LostTarget> drawn = new ArrayList<>(targets);
        Collections.shuffle(drawn, mRandom);
        List<Future<Boolean>> refusals = new ArrayList<>();
        for (LostTarget target : drawn.subList(0, Math.min(MAX_TARGETS, drawn.size()))) {
            refusals.add(mCheck.hasEnded(target));
        }
        return Future.join(refusals)
                .map(all -> refusals.stream().anyMatch(Future::result))
                .otherwise(false);
    }
}
