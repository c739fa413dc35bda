package org.sesamepin.cli;

import java.util.List;

/** One subcommand; those of other modules are found with {@link java.util.ServiceLoader}. */
public interface Command {
    /** Returns the word by which it is called. */
    String name();

    /** Returns what it does, in one line. */
    String summary();

    /**
     * Runs with the words behind the command's name and returns the exit code.
     *
     * @throws UsageException when the words are not understood
     * @throws Exception when the command was refused or failed
     */
    int run(List<String> args, Output out) throws Exception;
}
