package org.sesamepin.core.batch;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Status of a job as reported to callers. */
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

    /**
     * Parses a status from its label.
     *
     * @throws IllegalArgumentException if the label is unknown
     */
    @JsonCreator
    public static JobStatus fromLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }

    /** Returns whether the job has ended. */
    public boolean isTerminal() {
        return this == CANCELLED || this == COMPLETED;
    }
}
