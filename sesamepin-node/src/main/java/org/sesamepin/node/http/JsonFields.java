package org.sesamepin.node.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import io.vertx.core.json.DecodeException;
import java.io.IOException;
import java.io.StringWriter;
import org.jspecify.annotations.Nullable;

/**
 * Reads JSON of callers field by field, so that only what is used is kept. As a tree, a body of
 * many small values takes a multiple of its size.
 */
public final class JsonFields {
    /** Levels of nesting, as for {@link BoundedJson}. */
    private static final int MAX_DEPTH = BoundedJson.MAX_DEPTH;

    /** Names are not kept from one text to the next: callers may send any number of them. */
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    private JsonFields() {}

    /** Receives the fields of an object, in their order; a name may occur more than once. */
    @FunctionalInterface
    public interface FieldHandler {
        /**
         * Reads a field, or ignores it.
         *
         * @param parser stands at the first token of the value; may be left at its last token
         * @throws IOException if the value cannot be read
         */
        void onField(String name, JsonParser parser) throws IOException;
    }

    /**
     * Reads an object.
     *
     * @throws DecodeException if the text is no JSON object, or is nested more than 64 levels deep
     */
    public static void read(String text, FieldHandler handler) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            readObject(parser, handler);
            if (parser.nextToken() != null) {
                throw new DecodeException("text behind the object");
            }
        } catch (IOException e) {
            throw new DecodeException("the text is no valid JSON: " + e.getMessage(), e);
        }
    }

    /**
     * Reads the object at which a parser stands, to its end.
     *
     * @throws DecodeException if the value is no object
     * @throws IOException if the text is no valid JSON
     */
    public static void readObject(JsonParser parser, FieldHandler handler) throws IOException {
        if (!parser.hasToken(JsonToken.START_OBJECT)) {
            throw new DecodeException("an object is required");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            handler.onField(name, parser);
            parser.skipChildren();
        }
    }

    /**
     * Returns the value at which a parser stands: a string, number, boolean or null.
     *
     * @throws DecodeException if the value is an object or an array
     * @throws IOException if the text is no valid JSON
     */
    public static @Nullable Object readScalar(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case VALUE_NULL -> null;
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_STRING -> parser.getText();
            default -> throw new DecodeException("a single value is required");
        };
    }

    /**
     * Returns the text of a value to its end: a string without quotes, an object or array without
     * white space.
     *
     * @throws IOException if the text is no valid JSON
     */
    public static String readText(JsonParser parser) throws IOException {
        if (!parser.currentToken().isStructStart()) {
            return String.valueOf(readScalar(parser));
        }
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            generator.copyCurrentStructure(parser);
        }
        return text.toString();
    }
}
