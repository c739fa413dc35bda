package org.sesamepin.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Edits the text of a bundle and preserves its comments and the order of its lines. */
final class BundleTextEditor {
    private static final Pattern VERSION = Pattern.compile("(?m)^(\\s*version\\s*=\\s*).*$");

    private BundleTextEditor() {}

    /** Returns the text with its version replaced; fails when the text has no version. */
    static String withVersion(String text, long version) throws SesamepinException {
        var matcher = VERSION.matcher(text);
        if (!matcher.find()) {
            throw new SesamepinException(
                    Step.LOAD_BUNDLE, "bundle", "the line 'version = N' is missing");
        }
        return matcher.replaceFirst("$1" + version);
    }

    /** Returns the text with the section of a new key appended. */
    static String withKey(String text, String keyId, String customer, String digest) {
        String lineEnd = text.endsWith("\n") ? "" : "\n";
        return text
                + lineEnd
                + "\n[key "
                + keyId
                + "]\ncustomer = "
                + customer
                + "\ndigest = "
                + digest
                + "\n";
    }

    /** Returns the text with the key {@code keyId} withdrawn; fails when it has no such key. */
    static String withKeyWithdrawn(String text, String keyId) throws SesamepinException {
        List<String> lines = new ArrayList<>();
        boolean insideSection = false;
        boolean sectionFound = false;
        for (String line : text.split("\n", -1)) {
            String trimmed = line.trim();
            if (trimmed.startsWith("[")) {
                insideSection = trimmed.equals("[key " + keyId + "]");
                sectionFound |= insideSection;
                lines.add(line);
                if (insideSection) {
                    lines.add("withdrawn = true");
                }
            } else if (!insideSection || !trimmed.startsWith("withdrawn")) {
                lines.add(line);
            }
        }
        if (!sectionFound) {
            throw new SesamepinException(
                    Step.LOAD_BUNDLE, "bundle", "there is no section [key " + keyId + "]");
        }
        return String.join("\n", lines);
    }
}
