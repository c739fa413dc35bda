package org.sesamepin.node.serving;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.target.TargetInstance;
import org.sesamepin.node.prompt.LostTarget;
import org.sesamepin.node.prompt.ServiceTargets;

/** The targets that are registered in the store. */
final class RegisteredTargets implements ServiceTargets {
    private final ServingState mState;

    RegisteredTargets(ServingState state) {
        mState = state;
    }

    @Override
    public List<LostTarget> readyTargets(String service) {
        return mState.targets().readyTargets(service).stream()
                .map(RegisteredTargets::addressOf)
                .toList();
    }

    @Override
    public @Nullable LostTarget find(String target) {
        TargetInstance found = mState.targets().findIncarnation(target);
        return found == null ? null : addressOf(found);
    }

    private static LostTarget addressOf(TargetInstance target) {
        return new LostTarget(target.service(), target.incarnation(), target.address());
    }
}
