package org.sesamepin.core.error;

import java.util.Locale;

/** Whether a rejected or failed request was executed by a target, as far as that is known. */
public enum Execution {
    /** No byte of the request can have reached a target. */
    NOT_RUN,
    /** The target responded, so the request was executed. */
    RAN,
    /** The request was sent, but no complete response was received. */
    UNKNOWN;

    /** Returns the value as it is sent to callers, for example {@code not-run}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
