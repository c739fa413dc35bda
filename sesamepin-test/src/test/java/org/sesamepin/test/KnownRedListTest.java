package org.sesamepin.test;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that the tests left out of the build are exactly those that KNOWN-RED.txt lists. */
class KnownRedListTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern TAGGED_METHOD =
            Pattern.compile("@Tag\\(\"known-red\"\\).*?void (\\w+)\\(", Pattern.DOTALL);

    private static final Pattern TAGGED_SCENARIO = Pattern.compile("@known-red\\s+Scenario: (.*)");

    @Test
    void taggedTestsAreThoseOfTheList() throws IOException {
        assertEquals(listedTests(), taggedTests());
    }

    private static Set<String> listedTests() throws IOException {
        try (Stream<String> lines = Files.lines(ROOT.resolve("KNOWN-RED.txt"))) {
            return lines.filter(line -> !line.startsWith("#") && !line.isBlank())
                    .map(line -> line.substring(0, line.indexOf(' ')))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    private static Set<String> taggedTests() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> !file.endsWith("KnownRedListTest.java"))
                    .filter(file -> !file.toString().contains("/target/"))
                    .flatMap(KnownRedListTest::taggedTests)
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    private static Stream<String> taggedTests(Path file) {
        String name = file.getFileName().toString();
        boolean isFeature = name.endsWith(".feature");
        if (!isFeature && !name.endsWith("Test.java")) {
            return Stream.empty();
        }
        try {
            Pattern tagged = isFeature ? TAGGED_SCENARIO : TAGGED_METHOD;
            String group = name.substring(0, name.lastIndexOf('.'));
            return tagged.matcher(Files.readString(file))
                    .results()
                    .map(match -> group + "#" + match.group(1).strip().replace(' ', '-'));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
