package org.sesamepin.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against problems that are reported at the wrong line. */
class IniLineIndexTest {
    private static final IniLineIndex LINES =
            new IniLineIndex(
                    "# c\r\n[a b]\r\n  k = 1\r\n; k\r\nk2: [x]\r\n[c]\r\n[a b]\r\nk = 2\r\n");

    @Test
    void findsTheLastOccurrenceWhoseValueIsUsed() {
        assertEquals(7, LINES.lineOf("a b", ""));
        assertEquals(8, LINES.lineOf("a b", "k"));
        assertEquals(5, LINES.lineOf("a b", "k2"));
    }

    @Test
    void missingKeyHasTheLineOfItsSectionAndAMissingSectionNone() {
        assertEquals(6, LINES.lineOf("c", "k"));
        assertEquals(0, LINES.lineOf("d", "k"));
    }
}
