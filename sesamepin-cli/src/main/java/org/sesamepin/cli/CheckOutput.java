package org.sesamepin.cli;

import org.sesamepin.core.check.CheckReport;

/** Prints the report of a check; the same for all commands that check a configuration. */
public final class CheckOutput {
    private CheckOutput() {}

    /**
     * Prints a report and returns the exit code of the command.
     *
     * @param json whether to print one JSON object instead of one line per finding
     */
    public static int print(CheckReport report, boolean json, Output out) {
        if (json) {
            out.printLine(report.toJson());
        } else {
            report.toLines().forEach(out::printLine);
        }
        return report.hasErrors() ? Main.EXIT_FAILED : Main.EXIT_OK;
    }
}
