package org.sesamepin.core.check;

import java.util.Locale;

/** How serious a finding is. The order of the constants is the order in a report. */
public enum Severity {
    /** The configuration is refused, or a part of it cannot work as written. */
    ERROR,
    /** The configuration works, but probably not as intended. */
    WARNING,
    /** Information for the person who sends the configuration. */
    NOTE;

    /** Returns the name in reports. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
