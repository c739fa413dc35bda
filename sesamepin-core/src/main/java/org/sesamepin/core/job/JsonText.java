package org.sesamepin.core.job;

/** Size of texts as JSON, without encoding them. */
public final class JsonText {
    private static final int QUOTES_BYTES = 2;

    /** Size of an escape with a code point, such as {@code \\u0001}. */
    private static final int CODE_POINT_ESCAPE_BYTES = 6;

    private JsonText() {}

    /** Returns the size of {@code text} as a JSON string in UTF-8, with its quotes, bytes. */
    public static int encodedBytes(String text) {
        int bytes = QUOTES_BYTES;
        for (int i = 0; i < text.length(); i++) {
            bytes += encodedBytes(text.charAt(i));
        }
        return bytes;
    }

    private static int encodedBytes(char c) {
        if (c < ' ') {
            boolean hasShortEscape = c == '\n' || c == '\r' || c == '\t' || c == '\b' || c == '\f';
            return hasShortEscape ? 2 : CODE_POINT_ESCAPE_BYTES;
        }
        if (c == '"' || c == '\\') {
            return 2;
        }
        if (c < 0x80) {
            return 1;
        }
        // Each half of a surrogate pair counts for half of the four bytes of the pair.
        return c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
    }
}
