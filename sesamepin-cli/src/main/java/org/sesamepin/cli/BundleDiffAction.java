package org.sesamepin.cli;

import java.util.ArrayList;
import java.util.List;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.core.error.SesamepinException;

/** {@code sesamepin bundle diff}: prints the lines in which two bundles differ. */
final class BundleDiffAction {
    private BundleDiffAction() {}

    static int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("bundle diff FILE FILE");
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> files = arguments.positionalArguments(2);
        List<String> oldSettings = settingsLines(files.get(0));
        List<String> newSettings = settingsLines(files.get(1));
        oldSettings.stream()
                .filter(e -> !newSettings.contains(e))
                .forEach(e -> out.printLine("- " + e));
        newSettings.stream()
                .filter(e -> !oldSettings.contains(e))
                .forEach(e -> out.printLine("+ " + e));
        return Main.EXIT_OK;
    }

    /** Reads a bundle, signed or not, and returns its text in INI format. */
    static String readText(String file) throws SesamepinException {
        String text = BundleCommand.read(file);
        return text.startsWith("{") ? SignedBundle.fromJson(text).text() : text;
    }

    /** Returns the settings of a bundle, signed or not, each prefixed with its section. */
    private static List<String> settingsLines(String file) throws SesamepinException {
        String ini = readText(file);
        BundleParser.parse(file, ini);
        List<String> settings = new ArrayList<>();
        String currentSection = "";
        for (String line : ini.split("\n", -1)) {
            String trimmed = line.trim();
            if (trimmed.startsWith("[")) {
                currentSection = trimmed;
                settings.add(currentSection);
            } else if (!trimmed.isEmpty() && !trimmed.startsWith("#") && !trimmed.startsWith(";")) {
                settings.add(currentSection + " " + trimmed.replaceAll("\\s*=\\s*", " = "));
            }
        }
        return settings;
    }
}
