package org.sesamepin.node.http;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * One event of a stream of server-sent events, as the HTML standard defines them. An event without
 * a {@code data} field has no text, not an empty one; it only moves the position in the stream.
 *
 * @param bytes the event as it was received, with its final blank line
 * @param id value of the last {@code id} field; null when there is none
 * @param data values of the {@code data} fields, joined by line feeds; null when there is none
 */
public record StreamEvent(Buffer bytes, @Nullable String id, @Nullable String data) {
    private static final String ID_FIELD = "id";
    private static final String DATA_FIELD = "data";

    /** Data of the event that ends a stream of the OpenAI-compatible interface. */
    private static final String DONE_DATA = "[DONE]";

    /** Parses the lines of one event; bytes that are not UTF-8 become replacement characters. */
    static StreamEvent parse(Buffer bytes) {
        FieldReader reader = new FieldReader();
        bytes.toString(StandardCharsets.UTF_8).lines().forEach(reader::read);
        String data = reader.mData == null ? null : reader.mData.toString();
        return new StreamEvent(bytes, reader.mId, data);
    }

    /** Returns whether there is an id or a text; a block without either is not an event. */
    boolean isEvent() {
        return id != null || data != null;
    }

    /** Returns whether this is the event {@code [DONE]}, the last one of a stream. */
    public boolean isDone() {
        return DONE_DATA.equals(data);
    }

    /** Reads the fields of one event, line by line. */
    private static final class FieldReader {
        private @Nullable String mId;
        private @Nullable StringBuilder mData;

        void read(String line) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? line : line.substring(0, colon);
            String value = colon < 0 ? "" : line.substring(colon + 1);
            if (value.startsWith(" ")) {
                value = value.substring(1);
            }
            switch (name) {
                case ID_FIELD -> readId(value);
                case DATA_FIELD -> addData(value);
                default -> {
                    // A comment or another field: neither identifies the event nor adds text.
                }
            }
        }

        private void readId(String value) {
            boolean isIgnored = value.indexOf('\0') >= 0;
            if (!isIgnored) {
                mId = value;
            }
        }

        private void addData(String value) {
            StringBuilder data = mData;
            if (data == null) {
                mData = new StringBuilder(value);
            } else {
                data.append('\n').append(value);
            }
        }
    }
}
