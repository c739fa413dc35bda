package org.sesamepin.core.error;

import java.util.Locale;

/** Step of a request or of a control operation; every error names the step that failed. */
public enum Step {
    READ_REQUEST,
    AUTHENTICATE,
    ROUTE,
    LIMIT,
    ADMIT,
    GRANT_SLOT,
    CONNECT,
    SEND,
    AWAIT_RESPONSE,
    STREAM,
    STORE_READ,
    STORE_WRITE,
    PEER_CALL,
    LOAD_BUNDLE,
    START,
    STOP;

    /** Returns the name used in logs and error bodies, for example {@code grant-slot}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
