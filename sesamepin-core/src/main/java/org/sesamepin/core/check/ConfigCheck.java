package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sesamepin.core.check.ConfigOutline.Minimum;
import org.sesamepin.core.check.ConfigOutline.TimeBound;

/** Finds what is wrong or without effect in one version of a configuration. */
public final class ConfigCheck {
    private ConfigCheck() {}

    /** Returns the findings, in no particular order. */
    public static List<Finding> check(ConfigOutline outline) {
        List<Finding> findings = new ArrayList<>();
        checkNames(outline, findings);
        checkMinimums(outline, findings);
        checkTimes(outline, findings);
        RouteCheck.check(outline, findings);
        CustomerCheck.check(outline, findings);
        TargetCheck.check(outline, findings);
        return findings;
    }

    private static void checkNames(ConfigOutline outline, List<Finding> findings) {
        Map<String, ConfigEntry> first = new HashMap<>();
        for (ConfigEntry entry : outline.entries()) {
            ConfigEntry earlier = first.putIfAbsent(entry.label(), entry);
            if (earlier != null) {
                findings.add(
                        Finding.of(
                                FindingCode.DUPLICATE_NAME,
                                entry,
                                "an earlier entry has the same name, so that they cannot be told"
                                        + " apart"));
            }
        }
    }

    private static void checkMinimums(ConfigOutline outline, List<Finding> findings) {
        for (Minimum minimum : outline.minimums()) {
            if (!(minimum.value() >= minimum.least())) {
                findings.add(
                        Finding.of(
                                FindingCode.OUT_OF_RANGE,
                                minimum.entry(),
                                String.format(
                                        "%s is %s, but the least value is %s",
                                        minimum.name(),
                                        Numbers.format(minimum.value()),
                                        Numbers.format(minimum.least()))));
            }
        }
    }

    private static void checkTimes(ConfigOutline outline, List<Finding> findings) {
        for (TimeBound bound : outline.timeBounds()) {
            if (bound.boundMs() > 0 && bound.ms() > bound.boundMs()) {
                findings.add(
                        Finding.of(
                                FindingCode.TIME_OVER_BOUND,
                                bound.entry(),
                                String.format(
                                        "%s of %d ms is longer than %s of %d ms",
                                        bound.name(),
                                        bound.ms(),
                                        bound.boundName(),
                                        bound.boundMs())));
            }
        }
    }
}
