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

/** {@code sesamepin operator new}: makes an operator's key pair. */
final class OperatorCommand implements Command {
    @Override
    public String name() {
        return "operator";
    }

    @Override
    public String summary() {
        return "makes an operator's signing key";
    }

    @Override
    public int run(List<String> args, Output out) throws Exception {
        Arguments arguments = new Arguments("operator new NAME --key FILE");
        OptionSpec<String> key =
                arguments
                        .parser()
                        .accepts("key", "file for the private key; it must not exist")
                        .withRequiredArg()
                        .required();
        if (!arguments.parse(args, out)) {
            return Main.EXIT_OK;
        }
        List<String> words = arguments.positionalArguments(2);
        if (!words.get(0).equals("new")) {
            throw new UsageException("no action '" + words.get(0) + "'");
        }
        KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        Path file = Path.of(arguments.get(key));
        Files.createFile(
                file,
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(
                file,
                encode(pair.getPrivate().getEncoded()) + "\n",
                StandardCharsets.UTF_8,
                StandardOpenOption.TRUNCATE_EXISTING);
        out.line("# for the section [operators] of every node's settings:");
        out.line(words.get(1) + " = " + encode(pair.getPublic().getEncoded()));
        return Main.EXIT_OK;
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
