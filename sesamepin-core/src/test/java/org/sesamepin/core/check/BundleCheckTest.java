package org.sesamepin.core.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sesamepin.core.bundle.BundleParser;

/** Guards against faults of a bundle that the check misses, or reports at the wrong place. */
class BundleCheckTest {
    private static String read(String name) throws IOException {
        try (InputStream in =
                Objects.requireNonNull(BundleCheckTest.class.getResourceAsStream(name))) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static List<String> check(String file) throws IOException {
        return BundleCheck.check(file, read(file), null).toLines();
    }

    private static List<String> checkAgainstSound(String text) throws Exception {
        var inForce = new BundleCheck.InForce(BundleParser.parse("sound.ini", read("sound.ini")));
        return BundleCheck.check("next.ini", text, inForce).toLines();
    }

    /** Each file has the expected report beside it, with the ending {@code .expected}. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "sound",
                "unreadable-line",
                "misspelt-key",
                "wrong-references",
                "repeated-section",
                "hidden-routes",
                "equal-keys",
                "missing-targets",
                "contradicting-times",
                "contradicting-limits",
                "lone-weight",
                "values-of-wrong-type"
            })
    void reportIsAsExpected(String name) throws IOException {
        assertEquals(
                read(name + ".expected").strip(), String.join("\n", check(name + ".ini")).strip());
    }

    @Test
    void onlyErrorsFailTheCheck() throws IOException {
        assertFalse(BundleCheck.check("f", read("contradicting-times.ini"), null).hasErrors());
        assertTrue(BundleCheck.check("f", read("hidden-routes.ini"), null).hasErrors());
    }

    @Test
    void changesAgainstTheVersionInForceAreNamedWithoutSecrets() throws Exception {
        String next =
                read("sound.ini")
                        .replace("version = 4", "version = 5")
                        .replace("weight = 3", "weight = 2")
                        .replace("slots = 8", "slots = 8\ncredential = hush")
                        .replace("bb", "dd")
                        .replace("[route bookings]", "[route booking]");
        List<String> lines = checkAgainstSound(next);
        assertEquals(
                List.of(
                        "note removed next.ini [route bookings]: only in the version in force",
                        "note rate-total next.ini:1 [bundle]: the customers' rates sum to 10/s on"
                                + " 16 slots; for all of it a request may occupy a slot for 1600 ms"
                                + " on average",
                        "note changed next.ini:12 [customer south]: weight 3 -> 2",
                        "note changed next.ini:17 [key south-1]: digest changed",
                        "note changed next.ini:23 [target chat-1]: credential changed",
                        "note added next.ini:33 [route booking]: not in the version in force",
                        "ok: 0 errors, 0 warnings, 6 notes"),
                lines);
    }

    @Test
    void versionThatDoesNotFollowTheOneInForceIsAnError() throws Exception {
        String next = read("sound.ini").replace("version = 4", "version = 6");
        assertTrue(
                checkAgainstSound(next)
                        .get(0)
                        .startsWith(
                                "error version-not-newer next.ini:1 [bundle]: version 6, but"
                                        + " version 4 is in force; the next version is 5"));
        assertTrue(
                checkAgainstSound(read("sound.ini")).stream()
                        .anyMatch(line -> line.startsWith("note compared")));
    }

    /** The first route that matches applies, so that their order is part of the configuration. */
    @Test
    void changedOrderOfRoutesIsNamed() throws Exception {
        String other = "\n[route all]\npath = /*\nservice = booking\n";
        String before = read("sound.ini") + other;
        int route = before.indexOf("[route bookings]");
        String after = before.substring(0, route) + other.strip() + '\n' + before.substring(route);
        after = after.substring(0, after.length() - other.length()).replace("= 4", "= 5");
        var inForce = new BundleCheck.InForce(BundleParser.parse("sound.ini", before));
        List<String> lines = BundleCheck.check("next.ini", after, inForce).toLines();
        assertTrue(
                lines.stream()
                        .anyMatch(
                                line ->
                                        line.contains(
                                                "order of the routes: [route bookings], [route all]"
                                                        + " -> [route all], [route bookings]")),
                lines.toString());
    }

    @Test
    void firstVersionIsComparedWithNone() throws Exception {
        String first = read("sound.ini").replace("version = 4", "version = 1");
        assertFalse(BundleCheck.check("f", first, new BundleCheck.InForce(null)).hasErrors());
        assertTrue(
                BundleCheck.check("f", read("sound.ini"), new BundleCheck.InForce(null))
                        .hasErrors());
    }

    @Test
    void jsonReportHasTheSameFindings() throws IOException {
        CheckReport report = BundleCheck.check("h.ini", read("hidden-routes.ini"), null);
        JsonNode json = new ObjectMapper().readTree(report.toJson());
        assertEquals(report.findings().size(), json.get("findings").size());
        assertEquals(report.count(Severity.ERROR), json.get("errors").asLong());
        assertEquals("error", json.get("findings").get(0).get("severity").asText());
        assertEquals("route-hidden", json.get("findings").get(0).get("code").asText());
        assertEquals(38, json.get("findings").get(0).get("line").asInt());
        assertEquals("[route new-booking]", json.get("findings").get(0).get("entry").asText());
    }
}
