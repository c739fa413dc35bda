package org.sesamepin.node.prompt;

import io.vertx.core.Future;

/** Decides whether a target that refuses this host's connections has ended. */
public interface EndConfirmation {
    /** Returns whether the target has ended, or only this host's path to it is cut. */
    Future<Boolean> hasEnded(LostTarget target);
}
