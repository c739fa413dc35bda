package org.sesamepin.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against limits in bytes that are computed from characters. */
class JsonTextTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"ab|4", "άέ|6", "€|5", "\uD83D\uDE00|6", "a\"|5", "\\|4"})
    void sizeCountsBytesAndEscapes(String text, int bytes) {
        assertEquals(bytes, JsonText.encodedBytes(text));
    }

    @ParameterizedTest
    @CsvSource({"10,4", "9,4", "0,8", "31,8", "127,3"})
    void sizeCountsControlCharacters(int codePoint, int bytes) {
        assertEquals(bytes, JsonText.encodedBytes(Character.toString(codePoint)));
    }
}
