package org.sesamepin.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import joptsimple.OptionSpec;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.key.KeyDigest;
import org.sesamepin.core.key.KeySecret;

/** {@code sesamepin key}: makes and withdraws caller keys in a bundle file. */
final class KeyCommand implements Command {
    @Override
    public String name() {
        return "key";
    }

    @Override
    public String summary() {
        return "new, withdraw: caller keys in a bundle file";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments(
                        "key new ID --customer NAME --bundle FILE | key withdraw ID --bundle FILE");
        OptionSpec<String> bundle =
                arguments
                        .parser()
                        .accepts("bundle", "bundle file to change")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> customer =
                arguments
                        .parser()
                        .accepts("customer", "customer for whom a new key acts")
                        .withRequiredArg();
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> words = arguments.positionalArguments(2);
        String id = words.get(1);
        String file = arguments.get(bundle);
        String text = BundleCommand.read(file);
        switch (words.get(0)) {
            case "new" -> {
                if (!arguments.has(customer)) {
                    throw new UsageException("--customer is missing");
                }
                String secret = KeySecret.generate(id, new SecureRandom());
                String digest = KeyDigest.ofSecret(secret).hex();
                write(file, BundleTextEditor.withKey(text, id, arguments.get(customer), digest));
                out.line(secret);
            }
            case "withdraw" -> {
                write(file, BundleTextEditor.withKeyWithdrawn(text, id));
                out.line("withdrawn in " + file + "; sign and roll it");
            }
            default -> throw new UsageException("no action '" + words.get(0) + "'");
        }
        return Main.EXIT_OK;
    }

    private static void write(String file, String text) throws Exception {
        BundleParser.parse(file, text);
        Files.writeString(Path.of(file), text, StandardCharsets.UTF_8);
    }
}
