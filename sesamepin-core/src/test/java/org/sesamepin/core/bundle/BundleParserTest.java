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

/** Faults in bundles are reported with their place, all at once. */
class BundleParserTest {
    private static final String GOOD =
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
    void readsABundle() throws Exception {
        Bundle bundle = BundleParser.parse("b.ini", GOOD);
        assertEquals(3, bundle.version());
        assertEquals(10, Objects.requireNonNull(bundle.customers().get("north")).burst());
        assertEquals("openai", Objects.requireNonNull(bundle.targets().get("t")).protocol());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "rate = 5 | rate = -1 | [customer north] rate = '-1': allowed is a number",
                "rate = 5 | rate = fast | [customer north] rate = 'fast'",
                "rate = 5 | ratte = 5 | the nearest known name is 'rate'",
                "burst = 10 | | [customer north] burst = '': missing",
                "address = 127.0.0.1:9000 | address = localhost:9000 | an IP number and port",
                "[model m] | [modell m] | the nearest known name is 'model'",
                "model = m | model = n | no section [model n]",
                "[customer north] | [customer] | the section is written [customer NAME]"
            })
    void namesThePlaceOfAFault(String before, String after, String expected) {
        String text = GOOD.replace(before, after == null ? "" : after);
        ConfigException e =
                assertThrows(ConfigException.class, () -> BundleParser.parse("b.ini", text));
        String message = Objects.requireNonNull(e.getMessage());
        assertTrue(message.contains(expected), message);
        assertTrue(message.contains("b.ini"), message);
    }

    @Test
    void reportsAllFaultsAtOnce() {
        String text = GOOD.replace("rate = 5", "rate = x").replace("127.0.0.1:9000", "nowhere");
        ConfigException e =
                assertThrows(ConfigException.class, () -> BundleParser.parse("b.ini", text));
        assertEquals(2, e.problems().size());
    }

    @Test
    void refusesAFileThatIsTooLarge() {
        String text = GOOD + "# " + "x".repeat(BundleParser.MAX_BYTES);
        assertThrows(ConfigException.class, () -> BundleParser.parse("b.ini", text));
    }

    @Test
    void opensOnlyWhatAKnownOperatorSigned() throws Exception {
        KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        KeyPair other = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        SignedBundle signed =
                SignedBundle.sign(GOOD, "ana", base64(pair.getPrivate().getEncoded()));
        Map<String, String> keys = Map.of("ana", base64(pair.getPublic().getEncoded()));
        assertEquals(3, SignedBundle.fromJson(signed.toJson()).verifyAndParse(keys).version());
        assertThrows(SesamepinException.class, () -> signed.verifyAndParse(Map.of()));
        Map<String, String> wrong = Map.of("ana", base64(other.getPublic().getEncoded()));
        assertThrows(SesamepinException.class, () -> signed.verifyAndParse(wrong));
        String changed = GOOD.replace("version = 3", "version = 4");
        SignedBundle moved = new SignedBundle(changed, "ana", signed.signature());
        assertThrows(SesamepinException.class, () -> moved.verifyAndParse(keys));
    }

    private static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
