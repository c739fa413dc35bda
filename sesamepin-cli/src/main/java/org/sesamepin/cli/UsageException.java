package org.sesamepin.cli;

/** The command's words are not understood; ends with exit code 2. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
