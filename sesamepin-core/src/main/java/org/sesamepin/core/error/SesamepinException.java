package org.sesamepin.core.error;

import org.jspecify.annotations.Nullable;

/** Base of the project's checked exceptions; carries the step and the peer at which it arose. */
public class SesamepinException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step mStep;
    private final String mPeer;
    private final Execution mExecution;

    /** Creates an error at {@code step} against {@code peer}, for which nothing ran. */
    public SesamepinException(Step step, String peer, String message) {
        this(step, peer, Execution.NOT_RUN, message, null);
    }

    /** Creates an error with what is known about execution and with its cause. */
    public SesamepinException(
            Step step,
            String peer,
            Execution execution,
            String message,
            @Nullable Throwable cause) {
        super(message + " [step=" + step.label() + " peer=" + peer + "]", cause);
        mStep = step;
        mPeer = peer;
        mExecution = execution;
    }

    public Step step() {
        return mStep;
    }

    public String peer() {
        return mPeer;
    }

    public Execution execution() {
        return mExecution;
    }
}
