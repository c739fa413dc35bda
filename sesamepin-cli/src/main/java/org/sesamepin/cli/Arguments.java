package org.sesamepin.cli;

import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jspecify.annotations.Nullable;

/** Options and words of one subcommand, with its help. */
public final class Arguments {
    private final String mUsage;
    private final OptionParser mParser = new OptionParser();
    private final OptionSpec<Void> mHelp;
    private @Nullable OptionSet mOptions;

    /** Creates the arguments of a command whose usage line is {@code usage}. */
    public Arguments(String usage) {
        mUsage = usage;
        mHelp = mParser.accepts("help", "this text").forHelp();
    }

    /** Returns the parser, to which a command adds its options. */
    public OptionParser parser() {
        return mParser;
    }

    /** Adds an option that takes a whole number. */
    OptionSpec<Integer> integerOption(String name, String what, int standard) {
        return mParser.accepts(name, what)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(standard);
    }

    /** Parses the words; returns false when only the help was wanted and printed. */
    public boolean parse(List<String> args, Output out) throws IOException {
        OptionSet options = mParser.parse(args.toArray(new String[0]));
        mOptions = options;
        if (!options.has(mHelp)) {
            return true;
        }
        StringWriter text = new StringWriter();
        mParser.printHelpOn(text);
        out.line("Usage: sesamepin " + mUsage);
        out.line("");
        out.line(text.toString());
        return false;
    }

    private OptionSet options() {
        OptionSet options = mOptions;
        if (options == null) {
            throw new IllegalStateException("parsed first");
        }
        return options;
    }

    /** Returns the value of {@code option}. */
    public <T> T get(OptionSpec<T> option) {
        return options().valueOf(option);
    }

    /** Tells whether {@code option} was given. */
    public boolean has(OptionSpec<?> option) {
        return options().has(option);
    }

    /** Returns the words that are no options; fails unless there are {@code count}. */
    List<String> positionalArguments(int count) throws UsageException {
        List<String> words = options().nonOptionArguments().stream().map(Object::toString).toList();
        if (words.size() != count) {
            throw new UsageException("usage: sesamepin " + mUsage);
        }
        return words;
    }
}
