package org.sesamepin.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPairGenerator;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sesamepin.core.bundle.SignedBundle;
import org.sesamepin.standin.store.StoreStandIn;

/** Guards against exit codes and comparisons of {@code bundle check} that mislead a script. */
class BundleCheckActionTest {
    private static final long TIMEOUT_MS = 10_000;
    private static final String BUNDLE =
            """
            [bundle]
            version = 1
            [model m]
            [target t]
            model = m
            address = 127.0.0.1:9000
            """;

    @TempDir private Path mFolder = Path.of("");
    private final ByteArrayOutputStream mPrinted = new ByteArrayOutputStream();

    private int check(String... args) {
        mPrinted.reset();
        var words = new ArrayList<>(List.of("bundle", "check"));
        words.addAll(List.of(args));
        return Main.run(words, new Output(new PrintStream(mPrinted, true, StandardCharsets.UTF_8)));
    }

    private String printed() {
        return mPrinted.toString(StandardCharsets.UTF_8);
    }

    private String write(String name, String text) throws Exception {
        return Files.writeString(mFolder.resolve(name), text).toString();
    }

    private static SignedBundle sign(String text) throws Exception {
        byte[] key =
                KeyPairGenerator.getInstance("Ed25519").generateKeyPair().getPrivate().getEncoded();
        return SignedBundle.sign(text, "ana", Base64.getEncoder().encodeToString(key));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    void onlyErrorsGiveTheExitCodeOfAFailure() throws Exception {
        assertEquals(0, check(write("a.ini", BUNDLE)));
        assertEquals("ok: 0 errors, 0 warnings, 0 notes\n", printed());
        String leaving = BUNDLE + "leaving = true\n";
        assertEquals(0, check(write("b.ini", leaving)));
        assertTrue(printed().startsWith("warning no-targets "), printed());
        assertEquals(1, check(write("c.ini", leaving.replace("version", "versoin")), "--json"));
        assertTrue(printed().contains("\"code\":\"invalid\",\"line\":2,"), printed());
    }

    @Test
    void missingFileFailsAndTwoVersionsToCompareWithAreWrongUsage() throws Exception {
        String file = write("a.ini", BUNDLE);
        assertEquals(1, check(mFolder.resolve("none").toString()));
        assertEquals(1, check(file, "--against", mFolder.resolve("none").toString()));
        assertEquals(2, check(file, "--against", file, "--store", "127.0.0.1:1"));
        assertEquals(2, check(file, "--store", "localhost"));
        assertEquals(2, check());
    }

    @Test
    void comparesWithASignedBundle() throws Exception {
        String inForce = write("v1.signed", sign(BUNDLE).toJson());
        String next = BUNDLE.replace("version = 1", "version = 2") + "slots = 9\n";
        assertEquals(0, check(write("v2.ini", next), "--against", inForce));
        assertTrue(printed().contains("[target t]: slots 8 -> 9"), printed());
        assertEquals(1, check(write("v3.ini", next.replace("= 2", "= 3")), "--against", inForce));
        assertTrue(printed().contains("the next version is 2"), printed());
    }

    @Test
    void comparesWithTheVersionInForceOfTheStore() throws Exception {
        Vertx vertx = Vertx.vertx();
        StoreStandIn store =
                new StoreStandIn(vertx, new InetSocketAddress("127.0.0.1", freePort()));
        try {
            Futures.await(store.start(), TIMEOUT_MS);
            String address = store.address();
            String first = write("v1.ini", BUNDLE);
            assertEquals(0, check(first, "--store", address));
            assertTrue(printed().contains("no version is in force yet"), printed());
            String signed = write("v1.signed", sign(BUNDLE).toJson());
            assertEquals(
                    0,
                    Main.run(
                            List.of("bundle", "roll", signed, "--store", address),
                            new Output(System.out)));
            assertEquals(0, check(first, "--store", address));
            assertTrue(printed().contains("nothing differs"), printed());
            String next = BUNDLE.replace("version = 1", "version = 2").replace("9000", "9001");
            assertEquals(0, check(write("v2.ini", next), "--store", address));
            assertTrue(printed().contains("address 127.0.0.1:9000 -> 127.0.0.1:9001"), printed());
        } finally {
            Futures.await(vertx.close(), TIMEOUT_MS);
        }
    }
}
