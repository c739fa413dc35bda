package org.sesamepin.core.error;

import java.util.Locale;

/** What is known about whether a refused or failed request ran at a target. */
public enum Execution {
    /** No byte of the request can have reached a target. */
    NOT_RUN,
    /** The target answered, so the request ran. */
    RAN,
    /** The request was sent and no complete answer arrived. */
    UNKNOWN;

    /** Returns the value as callers see it, for example {@code not-run}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
