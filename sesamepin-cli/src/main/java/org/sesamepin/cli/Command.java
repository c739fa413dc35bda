package org.sesamepin.cli;

import java.util.List;

/**
 * A subcommand of the {@code sesamepin} binary. Commands of other modules are discovered with
 * {@link java.util.ServiceLoader}.
 */
public interface Command {
    /** Returns the name of the subcommand on the command line. */
    String name();

    /** Returns a description in one line, for the help text. */
    String summary();

    /**
     * Runs the command with the arguments after its name and returns the exit code.
     *
     * @throws UsageException when the arguments are invalid
     * @throws Exception when the command is rejected or fails
     */
    int run(List<String> args, Output out) throws Exception;
}
