package org.sesamepin.core.batch;

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

    /** Tells whether no item starts any more. */
    public boolean isTerminal() {
        return this == CANCELLED || this == COMPLETED;
    }
}
