package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.serving.ServingDefinition;

/** Checks the configuration of a fleet that serves HTTP routes. */
public final class ServingCheck {
    private ServingCheck() {}

    /**
     * Checks a configuration.
     *
     * @param definition the configuration
     * @param inForce the version in force; null for no comparison
     * @return the findings, in no particular order
     */
    public static List<Finding> check(
            ServingDefinition definition, @Nullable ServingDefinition inForce) {
        ConfigOutline outline = new ServingOutline(definition).describe();
        List<Finding> findings = new ArrayList<>(ConfigCheck.check(outline));
        if (inForce != null) {
            findings.addAll(ConfigDiff.compare(new ServingOutline(inForce).describe(), outline));
        }
        return findings;
    }
}
