package org.sesamepin.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import joptsimple.OptionException;
import org.sesamepin.core.error.SesamepinException;

/** Entry point of the binary. Exit codes: 0 success, 1 rejected or failed, 2 invalid usage. */
public final class Main {
    /** The command succeeded. */
    static final int EXIT_OK = 0;

    /** The command was rejected or failed. */
    static final int EXIT_FAILED = 1;

    /** The arguments are invalid. */
    static final int EXIT_USAGE = 2;

    private static final List<Command> BUILT_IN_COMMANDS =
            List.of(
                    new NodeCommand(),
                    new OperatorCommand(),
                    new BundleCommand(),
                    new KeyCommand(),
                    new StatusCommand(),
                    new UsageCommand(),
                    new DemoCommand(),
                    new LoadCommand(),
                    new StandInCommand(),
                    new ReferenceCommand());

    private Main() {}

    private static List<Command> commands() {
        List<Command> commands = new ArrayList<>(BUILT_IN_COMMANDS);
        ServiceLoader.load(Command.class).forEach(commands::add);
        return commands;
    }

    /** Runs one subcommand and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(List.of(args), new Output(System.out)));
    }

    /** Runs one subcommand and returns its exit code. */
    static int run(List<String> args, Output out) {
        String name = args.isEmpty() ? "--help" : args.get(0);
        if (name.equals("--help") || name.equals("help") || name.equals("-h")) {
            printHelp(out);
            return args.isEmpty() ? EXIT_USAGE : EXIT_OK;
        }
        if (name.equals("--version")) {
            out.printLine("sesamepin " + version());
            return EXIT_OK;
        }
        for (Command command : commands()) {
            if (command.name().equals(name)) {
                return run(command, args.subList(1, args.size()), out);
            }
        }
        System.err.println("sesamepin: unknown command '" + name + "'; see sesamepin --help");
        return EXIT_USAGE;
    }

    private static int run(Command command, List<String> args, Output out) {
        try {
            return command.run(args, out);
        } catch (UsageException | OptionException e) {
            System.err.println("sesamepin " + command.name() + ": " + e.getMessage());
            System.err.println("see sesamepin " + command.name() + " --help");
            return EXIT_USAGE;
        } catch (SesamepinException e) {
            System.err.println("sesamepin " + command.name() + ": " + e.getMessage());
            return EXIT_FAILED;
        } catch (Exception e) {
            Throwable cause = e.getCause() instanceof SesamepinException inner ? inner : e;
            System.err.println("sesamepin " + command.name() + ": " + cause);
            return EXIT_FAILED;
        }
    }

    private static void printHelp(Output out) {
        out.printLine("Usage: sesamepin COMMAND [OPTION ...]");
        out.printLine("");
        out.printLine("Serves online and batch inference on one fleet.");
        out.printLine("");
        for (Command command : commands()) {
            out.printLine(String.format("  %-10s %s", command.name(), command.summary()));
        }
        out.printLine("");
        out.printLine(
                "  --help     prints this help; COMMAND --help prints the options of a command");
        out.printLine("  --version  prints the version");
        out.printLine("");
        out.printLine("Exit codes: 0 success, 1 rejected or failed, 2 invalid usage.");
    }

    static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
