package org.sesamepin.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/** Edits to a bundle's text that leave its comments and order as they are. */
final class BundleTextEditor {
    private static final Pattern VERSION = Pattern.compile("(?m)^(\\s*version\\s*=\\s*).*$");

    private BundleTextEditor() {}

    /** Returns the text with another version. */
    static String withVersion(String text, long version) throws SesamepinException {
        var matcher = VERSION.matcher(text);
        if (!matcher.find()) {
            throw new SesamepinException(Step.LOAD_BUNDLE, "bundle", "no line 'version = N'");
        }
        return matcher.replaceFirst("$1" + version);
    }

    /** Returns the text with one more key. */
    static String withKey(String text, String id, String customer, String digest) {
        String end = text.endsWith("\n") ? "" : "\n";
        return text
                + end
                + "\n[key "
                + id
                + "]\ncustomer = "
                + customer
                + "\ndigest = "
                + digest
                + "\n";
    }

    /** Returns the text with the key {@code id} withdrawn. */
    static String withKeyWithdrawn(String text, String id) throws SesamepinException {
        List<String> lines = new ArrayList<>();
        boolean inside = false;
        boolean found = false;
        for (String line : text.split("\n", -1)) {
            String trimmed = line.trim();
            if (trimmed.startsWith("[")) {
                inside = trimmed.equals("[key " + id + "]");
                found |= inside;
                lines.add(line);
                if (inside) {
                    lines.add("withdrawn = true");
                }
            } else if (!inside || !trimmed.startsWith("withdrawn")) {
                lines.add(line);
            }
        }
        if (!found) {
            throw new SesamepinException(Step.LOAD_BUNDLE, "bundle", "no section [key " + id + "]");
        }
        return String.join("\n", lines);
    }
}
