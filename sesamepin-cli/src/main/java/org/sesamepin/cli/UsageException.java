package org.sesamepin.cli;

/** The command's words are not understood; ends with exit code 2. */
public final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an error whose message says what was wrong. */
    public UsageException(String message) {
        super(message);
    }
}
