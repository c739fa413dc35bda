package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/** Compares a configuration with the version in force. */
public final class ConfigDiff {
    private ConfigDiff() {}

    /** Returns what changes when {@code next} replaces {@code inForce}. */
    public static List<Finding> compare(ConfigOutline inForce, ConfigOutline next) {
        List<Finding> findings = new ArrayList<>();
        Map<String, ConfigEntry> before = byLabel(inForce);
        Map<String, ConfigEntry> after = byLabel(next);
        for (ConfigEntry entry : after.values()) {
            ConfigEntry old = before.get(entry.label());
            if (old == null) {
                findings.add(Finding.of(FindingCode.ADDED, entry, "not in the version in force"));
            } else {
                compareSettings(old, entry, findings);
            }
        }
        for (ConfigEntry entry : before.values()) {
            if (!after.containsKey(entry.label())) {
                findings.add(
                        new Finding(
                                FindingCode.REMOVED,
                                0,
                                entry.label(),
                                "only in the version in force"));
            }
        }
        compareOrder(inForce, next, findings);
        if (findings.isEmpty() && inForce.version() == next.version()) {
            findings.add(
                    Finding.of(
                            FindingCode.COMPARED,
                            next.document(),
                            "nothing differs from the version in force, " + next.version()));
            return findings;
        }
        compareVersions(inForce.version(), next, findings);
        return findings;
    }

    /** Returns the finding for the case that no version is in force yet. */
    public static List<Finding> compareWithNone(ConfigOutline next) {
        List<Finding> findings = new ArrayList<>();
        findings.add(
                Finding.of(FindingCode.COMPARED, next.document(), "no version is in force yet"));
        compareVersions(0, next, findings);
        return findings;
    }

    private static Map<String, ConfigEntry> byLabel(ConfigOutline outline) {
        Map<String, ConfigEntry> entries = new LinkedHashMap<>();
        outline.entries().forEach(entry -> entries.put(entry.label(), entry));
        return entries;
    }

    private static void compareSettings(ConfigEntry old, ConfigEntry entry, List<Finding> out) {
        List<String> changes = new ArrayList<>();
        TreeSet<String> names = new TreeSet<>(old.settings().keySet());
        names.addAll(entry.settings().keySet());
        for (String name : names) {
            String before = old.settings().getOrDefault(name, "none");
            String after = entry.settings().getOrDefault(name, "none");
            if (!before.equals(after)) {
                changes.add(name + ' ' + before + " -> " + after);
            }
        }
        TreeSet<String> secrets = new TreeSet<>(old.secrets().keySet());
        secrets.addAll(entry.secrets().keySet());
        for (String name : secrets) {
            if (!Objects.equals(old.secrets().get(name), entry.secrets().get(name))) {
                changes.add(name + " changed");
            }
        }
        if (!changes.isEmpty()) {
            out.add(Finding.of(FindingCode.CHANGED, entry, String.join(", ", changes)));
        }
    }

    /**
     * Compares the order of the routes that both versions have, where it decides which of two
     * routes matches.
     */
    private static void compareOrder(ConfigOutline inForce, ConfigOutline next, List<Finding> out) {
        List<String> before = routeLabels(inForce);
        List<String> after = routeLabels(next);
        List<String> commonBefore = before.stream().filter(after::contains).toList();
        List<String> commonAfter = after.stream().filter(before::contains).toList();
        if (!commonBefore.equals(commonAfter)) {
            out.add(
                    Finding.of(
                            FindingCode.CHANGED,
                            next.document(),
                            "order of the routes: "
                                    + String.join(", ", commonBefore)
                                    + " -> "
                                    + String.join(", ", commonAfter)));
        }
    }

    private static List<String> routeLabels(ConfigOutline outline) {
        return outline.routes().stream()
                .filter(route -> route.match().type() != RouteMatch.Type.LONGEST_PREFIX)
                .map(route -> route.entry().label())
                .toList();
    }

    private static void compareVersions(long inForce, ConfigOutline next, List<Finding> out) {
        boolean follows =
                next.consecutiveVersions()
                        ? next.version() == inForce + 1
                        : next.version() > inForce;
        if (follows) {
            return;
        }
        String expected =
                next.consecutiveVersions()
                        ? "the next version is " + (inForce + 1)
                        : "hosts take only a higher one";
        out.add(
                Finding.of(
                        FindingCode.VERSION_NOT_NEWER,
                        next.document(),
                        String.format(
                                "version %d, but version %d is in force; %s",
                                next.version(), inForce, expected)));
    }
}
