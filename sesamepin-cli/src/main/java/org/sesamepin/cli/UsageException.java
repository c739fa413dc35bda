package org.sesamepin.cli;

/** Thrown when the arguments of a command are invalid; the process exits with code 2. */
public final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the invalid argument. */
    public UsageException(String message) {
        super(message);
    }
}
