package org.sesamepin.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.Base64;
import java.util.List;
import joptsimple.OptionSpec;

/** {@code sesamepin operator new}: generates the key pair with which an operator signs bundles. */
final class OperatorCommand implements Command {
    @Override
    public String name() {
        return "operator";
    }

    @Override
    public String summary() {
        return "generates an operator's key pair for signing bundles";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("operator new NAME --key FILE");
        OptionSpec<String> key =
                arguments
                        .parser()
                        .accepts("key", "new file for the private key; must not exist yet")
                        .withRequiredArg()
                        .required();
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> positional = arguments.positionalArguments(2);
        if (!positional.get(0).equals("new")) {
            throw new UsageException("unknown action '" + positional.get(0) + "'");
        }
        KeyPair keyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        Path file = Path.of(arguments.get(key));
        Files.createFile(
                file,
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(
                file,
                encode(keyPair.getPrivate().getEncoded()) + "\n",
                StandardCharsets.UTF_8,
                StandardOpenOption.TRUNCATE_EXISTING);
        out.printLine("# add to the section [operators] in the settings of every node:");
        out.printLine(positional.get(1) + " = " + encode(keyPair.getPublic().getEncoded()));
        return Main.EXIT_OK;
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
