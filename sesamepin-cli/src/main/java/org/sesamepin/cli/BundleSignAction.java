package org.sesamepin.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionSpec;
import org.sesamepin.core.bundle.Bundle;
import org.sesamepin.core.bundle.BundleParser;
import org.sesamepin.core.bundle.SignedBundle;

/** {@code sesamepin bundle sign}: signs a bundle with an operator's key. */
final class BundleSignAction {
    private BundleSignAction() {}

    static int run(List<String> args, Output out) throws Exception {
        Arguments arguments =
                new Arguments(
                        "bundle sign FILE --operator NAME --key FILE --out FILE [--set-version N]");
        OptionSpec<String> operator =
                arguments
                        .parser()
                        .accepts("operator", "name of the operator who signs")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> key =
                arguments
                        .parser()
                        .accepts("key", "file with the private key")
                        .withRequiredArg()
                        .required();
        OptionSpec<String> signedFile =
                arguments
                        .parser()
                        .accepts("out", "file for the signed bundle")
                        .withRequiredArg()
                        .required();
        OptionSpec<Long> version =
                arguments
                        .parser()
                        .accepts("set-version", "version to write into FILE before signing")
                        .withRequiredArg()
                        .ofType(Long.class);
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        String file = arguments.positionalArguments(1).get(0);
        String text = BundleCommand.read(file);
        if (arguments.has(version)) {
            text = BundleTextEditor.withVersion(text, arguments.get(version));
            Files.writeString(Path.of(file), text, StandardCharsets.UTF_8);
        }
        Bundle bundle = BundleParser.parse(file, text);
        SignedBundle signed =
                SignedBundle.sign(
                        text, arguments.get(operator), BundleCommand.read(arguments.get(key)));
        Files.writeString(
                Path.of(arguments.get(signedFile)), signed.toJson(), StandardCharsets.UTF_8);
        out.printLine("signed version " + bundle.version() + " into " + arguments.get(signedFile));
        return Main.EXIT_OK;
    }
}
