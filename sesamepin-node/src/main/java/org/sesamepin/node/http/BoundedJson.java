package org.sesamepin.node.http;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Parses JSON that another process wrote. The parser calls itself for each level of nesting, so a
 * text that is nested deeply enough would exhaust the stack of the thread, which is an error and
 * not an exception.
 */
public final class BoundedJson {
    /** Levels of nesting; far more than any message has, and few enough for a small stack. */
    static final int MAX_DEPTH = 64;

    private BoundedJson() {}

    /**
     * Parses an object.
     *
     * @throws DecodeException if the text is no JSON object, or is nested too deeply
     */
    public static JsonObject parseObject(String text) {
        checkDepth(text);
        return new JsonObject(text);
    }

    private static void checkDepth(String text) {
        int depth = 0;
        boolean inString = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (inString) {
                if (c == '\\') {
                    i++;
                } else if (c == '"') {
                    inString = false;
                }
            } else if (c == '"') {
                inString = true;
            } else if (c == '{' || c == '[') {
                depth++;
                if (depth > MAX_DEPTH) {
                    throw new DecodeException("nested more than " + MAX_DEPTH + " levels deep");
                }
            } else if (c == '}' || c == ']') {
                depth--;
            }
        }
    }
}
