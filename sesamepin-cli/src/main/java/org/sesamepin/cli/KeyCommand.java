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

/** {@code sesamepin key}: adds caller keys to a bundle file and withdraws them. */
final class KeyCommand implements Command {
    @Override
    public String name() {
        return "key";
    }

    @Override
    public String summary() {
        return "manages caller keys in a bundle file: new, withdraw";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments(
                        "key new ID --customer NAME --bundle FILE | key withdraw ID --bundle FILE");
        OptionSpec<String> bundle =
                arguments
                        .parser()
                        .accepts("bundle", "bundle file to edit")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> customer =
                arguments
                        .parser()
                        .accepts("customer", "customer that the new key belongs to")
                        .withRequiredArg();
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> positional = arguments.positionalArguments(2);
        String keyId = positional.get(1);
        String file = arguments.get(bundle);
        String text = BundleCommand.read(file);
        switch (positional.get(0)) {
            case "new" -> {
                if (!arguments.has(customer)) {
                    throw new UsageException("the option --customer is missing");
                }
                String secret = KeySecret.generate(keyId, new SecureRandom());
                String digest = KeyDigest.ofSecret(secret).hex();
                write(file, BundleTextEditor.withKey(text, keyId, arguments.get(customer), digest));
                out.printLine(secret);
            }
            case "withdraw" -> {
                write(file, BundleTextEditor.withKeyWithdrawn(text, keyId));
                out.printLine(
                        "withdrawn in "
                                + file
                                + "; sign the bundle and roll it out to take effect");
            }
            default -> throw new UsageException("unknown action '" + positional.get(0) + "'");
        }
        return Main.EXIT_OK;
    }

    private static void write(String file, String text) throws Exception {
        BundleParser.parse(file, text);
        Files.writeString(Path.of(file), text, StandardCharsets.UTF_8);
    }
}
