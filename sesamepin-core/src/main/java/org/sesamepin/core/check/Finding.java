package org.sesamepin.core.check;

import java.util.Comparator;

/**
 * One fact about a configuration that the person who sends it should know.
 *
 * @param code kind of the finding
 * @param line line of the entry, from 1; 0 if unknown
 * @param entry the entry, for example {@code [route bookings]}; empty for the whole file
 * @param text description, without secrets
 */
public record Finding(FindingCode code, int line, String entry, String text)
        implements Comparable<Finding> {
    private static final Comparator<Finding> ORDER =
            Comparator.<Finding, Severity>comparing(finding -> finding.code().severity())
                    .thenComparingInt(Finding::line)
                    .thenComparing(Finding::entry)
                    .thenComparing(Finding::code)
                    .thenComparing(Finding::text);

    /** Creates a finding about {@code entry}. */
    static Finding of(FindingCode code, ConfigEntry entry, String text) {
        return new Finding(code, entry.line(), entry.label(), text);
    }

    /** Orders by severity, then by line and entry. */
    @Override
    public int compareTo(Finding other) {
        return ORDER.compare(this, other);
    }

    /** Returns the finding in one line, for a file of the given name. */
    public String describe(String file) {
        String position = line > 0 ? file + ':' + line : file;
        String subject = entry.isEmpty() ? position : position + ' ' + entry;
        String oneLine = text.replaceAll("\\s*\\R\\s*", " ");
        return code.severity().label() + ' ' + code.label() + ' ' + subject + ": " + oneLine;
    }
}
