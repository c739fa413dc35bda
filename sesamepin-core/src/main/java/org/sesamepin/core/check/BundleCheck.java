package org.sesamepin.core.check;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.config.ConfigException;
import org.sesamepin.core.config.ConfigProblem;
import org.sesamepin.core.config.IniLineIndex;

/** Checks the text of a bundle before it is signed and rolled out. */
public final class BundleCheck {
    private BundleCheck() {}

    /**
     * What a bundle is compared with.
     *
     * @param bundle the version in force; null if there is none yet
     */
    public record InForce(@Nullable Bundle bundle) {}

    /**
     * Checks a bundle.
     *
     * @param file name of the file in the report
     * @param text the bundle in INI format
     * @param inForce what to compare with; null for no comparison
     */
    public static CheckReport check(String file, String text, @Nullable InForce inForce) {
        List<Finding> findings = new ArrayList<>();
        try {
            ConfigOutline outline = describe(BundleParser.parse(file, text), text);
            findings.addAll(ConfigCheck.check(outline));
            if (inForce != null) {
                Bundle current = inForce.bundle();
                findings.addAll(
                        current == null
                                ? ConfigDiff.compareWithNone(outline)
                                : ConfigDiff.compare(describe(current, ""), outline));
            }
        } catch (ConfigException e) {
            e.problems().forEach(problem -> findings.add(toFinding(problem)));
        }
        return new CheckReport(file, findings);
    }

    private static ConfigOutline describe(Bundle bundle, String text) {
        return new BundleOutline(bundle, new IniLineIndex(text)).describe();
    }

    private static Finding toFinding(ConfigProblem problem) {
        String entry = problem.section().isEmpty() ? "" : '[' + problem.section() + ']';
        return new Finding(FindingCode.INVALID, problem.line(), entry, problem.description());
    }
}
