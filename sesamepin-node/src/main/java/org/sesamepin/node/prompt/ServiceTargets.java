package org.sesamepin.node.prompt;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** The registered targets, as this host knows them. */
public interface ServiceTargets {
    /** Knows no targets. */
    ServiceTargets NONE =
            new ServiceTargets() {
                @Override
                public List<LostTarget> readyTargets(String service) {
                    return List.of();
                }

                @Override
                public @Nullable LostTarget find(String target) {
                    return null;
                }
            };

    /** Returns the targets of a service that accept requests. */
    List<LostTarget> readyTargets(String service);

    /** Returns the registered target of an incarnation, or null. */
    @Nullable LostTarget find(String target);
}
