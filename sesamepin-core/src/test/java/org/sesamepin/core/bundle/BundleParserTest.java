package org.sesamepin.core.bundle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.util.Base64;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sesamepin.core.config.ConfigException;
import org.sesamepin.core.error.SesamepinException;

/** Verifies that all problems of a bundle are reported at once, with section and key. */
class BundleParserTest {
    private static final String VALID_BUNDLE =
            """
            [bundle]
            version = 3
            [customer north]
            rate = 5
            burst = 10
            [model m]
            [target t]
            model = m
            address = 127.0.0.1:9000
            """;

    @Test
    void parsesAValidBundle() throws Exception {
        Bundle bundle = BundleParser.parse("b.ini", VALID_BUNDLE);
        assertEquals(3, bundle.version());
        assertEquals(10, Objects.requireNonNull(bundle.customers().get("north")).burst());
        assertEquals("openai", Objects.requireNonNull(bundle.targets().get("t")).protocol());
    }

    /** Each row replaces one text of the valid bundle and gives a part of the expected message. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "rate = 5 | rate = -1 | [customer north] rate = '-1': expected a number",
                "rate = 5 | rate = fast | [customer north] rate = 'fast'",
                "rate = 5 | ratte = 5 | the closest match is 'rate'",
                "burst = 10 | | [customer north] burst = '': missing",
                "address = 127.0.0.1:9000 | address = localhost:9000 | an IP address and port",
                "[model m] | [modell m] | the closest match is 'model'",
                "model = m | model = n | no section [model n]",
                "[customer north] | [customer] | write the section header as [customer NAME]"
            })
    void reportsSectionAndKeyOfAProblem(String before, String after, String expected) {
        String text = VALID_BUNDLE.replace(before, after == null ? "" : after);
        ConfigException exception =
                assertThrows(ConfigException.class, () -> BundleParser.parse("b.ini", text));
        String message = Objects.requireNonNull(exception.getMessage());
        assertTrue(message.contains(expected), message);
        assertTrue(message.contains("b.ini"), message);
    }

    @Test
    void reportsAllProblemsAtOnce() {
        String text =
                VALID_BUNDLE.replace("rate = 5", "rate = x").replace("127.0.0.1:9000", "nowhere");
        ConfigException exception =
                assertThrows(ConfigException.class, () -> BundleParser.parse("b.ini", text));
        assertEquals(2, exception.problems().size());
    }

    @Test
    void rejectsAFileThatIsTooLarge() {
        String text = VALID_BUNDLE + "# " + "x".repeat(BundleParser.MAX_BYTES);
        assertThrows(ConfigException.class, () -> BundleParser.parse("b.ini", text));
    }

    @Test
    void acceptsOnlyTextSignedByAKnownOperator() throws Exception {
        KeyPair operatorKeyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        KeyPair otherKeyPair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        SignedBundle signed =
                SignedBundle.sign(
                        VALID_BUNDLE, "ana", base64(operatorKeyPair.getPrivate().getEncoded()));
        Map<String, String> publicKeys =
                Map.of("ana", base64(operatorKeyPair.getPublic().getEncoded()));
        assertEquals(
                3, SignedBundle.fromJson(signed.toJson()).verifyAndParse(publicKeys).version());
        assertThrows(SesamepinException.class, () -> signed.verifyAndParse(Map.of()));
        Map<String, String> otherPublicKeys =
                Map.of("ana", base64(otherKeyPair.getPublic().getEncoded()));
        assertThrows(SesamepinException.class, () -> signed.verifyAndParse(otherPublicKeys));
        String alteredText = VALID_BUNDLE.replace("version = 3", "version = 4");
        SignedBundle altered = new SignedBundle(alteredText, "ana", signed.signature());
        assertThrows(SesamepinException.class, () -> altered.verifyAndParse(publicKeys));
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
