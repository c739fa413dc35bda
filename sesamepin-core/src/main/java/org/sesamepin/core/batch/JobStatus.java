package org.sesamepin.core.batch;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Status of a job as callers see it. */
public enum JobStatus {
    IN_PROGRESS,
    CANCELLING,
    CANCELLED,
    COMPLETED;

    /** Returns the status in lower case, for example {@code in_progress}. */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Reads a status in lower case; throws IllegalArgumentException for anything else. */
    @JsonCreator
    public static JobStatus fromLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }

    /** Tells whether no item starts any more. */
    public boolean isTerminal() {
        return this == CANCELLED || this == COMPLETED;
    }
}
