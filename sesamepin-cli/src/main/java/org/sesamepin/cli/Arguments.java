package org.sesamepin.cli;

import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jspecify.annotations.Nullable;

/** Parses the options and positional arguments of one subcommand and prints its help. */
public final class Arguments {
    private final String mUsage;
    private final OptionParser mParser = new OptionParser();
    private final OptionSpec<Void> mHelp;
    private @Nullable OptionSet mOptions;

    /**
     * Creates a parser for a command; {@code usage} is its usage line without the binary's name.
     */
    public Arguments(String usage) {
        mUsage = usage;
        mHelp = mParser.accepts("help", "prints this help").forHelp();
    }

    /** Returns the option parser, to which a command adds its options before {@link #parse}. */
    public OptionParser parser() {
        return mParser;
    }

    /** Adds an option with an integer argument. */
    OptionSpec<Integer> integerOption(String name, String description, int defaultValue) {
        return mParser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(defaultValue);
    }

    /** Parses the arguments; returns false when {@code --help} was given and has been printed. */
    public boolean parse(List<String> args, Output out) throws IOException {
        OptionSet options = mParser.parse(args.toArray(new String[0]));
        mOptions = options;
        if (!options.has(mHelp)) {
            return true;
        }
        StringWriter text = new StringWriter();
        mParser.printHelpOn(text);
        out.printLine("Usage: sesamepin " + mUsage);
        out.printLine("");
        out.printLine(text.toString());
        return false;
    }

    private OptionSet options() {
        OptionSet options = mOptions;
        if (options == null) {
            throw new IllegalStateException("the arguments have not been parsed yet");
        }
        return options;
    }

    /** Returns the value of {@code option}, or its default. */
    public <T> T get(OptionSpec<T> option) {
        return options().valueOf(option);
    }

    /** Returns whether {@code option} was given. */
    public boolean has(OptionSpec<?> option) {
        return options().has(option);
    }

    /** Returns the positional arguments; fails unless there are exactly {@code count}. */
    public List<String> positionalArguments(int count) throws UsageException {
        List<String> positional =
                options().nonOptionArguments().stream().map(Object::toString).toList();
        if (positional.size() != count) {
            throw new UsageException("usage: sesamepin " + mUsage);
        }
        return positional;
    }
}
