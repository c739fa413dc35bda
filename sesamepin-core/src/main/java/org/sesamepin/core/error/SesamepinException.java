package org.sesamepin.core.error;

import org.jspecify.annotations.Nullable;

/** Base class of the project's checked exceptions; names the step and the peer that failed. */
public class SesamepinException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Step mStep;
    private final String mPeer;
    private final Execution mExecution;

    /** Creates an exception for a failure before any target executed the request. */
    public SesamepinException(Step step, String peer, String message) {
        this(step, peer, Execution.NOT_RUN, message, null);
    }

    /** Creates an exception with its cause and whether the request was executed. */
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
