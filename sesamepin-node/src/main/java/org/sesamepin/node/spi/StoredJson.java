package org.sesamepin.node.spi;

import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;
import org.sesamepin.node.http.BoundedJson;

/**
 * Decodes JSON values of the store. Other writers may have left anything there: whatever is wrong
 * with a value costs that entry alone.
 */
public final class StoredJson {
    private static final int MAX_ERROR_CHARS = 200;

    /** Converts the parsed value; every exception that it throws counts as a malformed value. */
    public interface Decoder<T> {
        /** Returns the decoded value. */
        T decode(JsonObject json) throws SesamepinException;
    }

    private StoredJson() {}

    /**
     * Decodes a value.
     *
     * @param key key of the entry, for errors
     * @param value UTF-8 text of a JSON object
     * @throws SesamepinException if the value is malformed
     */
    public static <T> T decode(String key, byte[] value, Decoder<T> decoder)
            throws SesamepinException {
        try {
            String text = new String(value, StandardCharsets.UTF_8);
            return decoder.decode(BoundedJson.parseObject(text));
        } catch (RuntimeException e) {
            throw new SesamepinException(Step.STORE_READ, key, "malformed value: " + describe(e));
        }
    }

    /** Returns the first line of an error's text, which may quote all of the value. */
    private static String describe(RuntimeException e) {
        String text = String.valueOf(e.getMessage());
        int end = Math.min(text.length(), MAX_ERROR_CHARS);
        int lineEnd = text.indexOf('\n');
        return text.substring(0, lineEnd < 0 ? end : Math.min(end, lineEnd));
    }
}
