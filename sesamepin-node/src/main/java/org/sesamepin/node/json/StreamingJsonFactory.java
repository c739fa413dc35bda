package org.sesamepin.node.json;

import io.vertx.core.json.jackson.JacksonCodec;
import io.vertx.core.spi.JsonFactory;
import io.vertx.core.spi.json.JsonCodec;

/**
 * Makes Vert.x parse JSON with Jackson's streaming parser. Its default, Jackson's data binding,
 * costs much processor time when a process starts, and no JSON here is bound to classes.
 */
public final class StreamingJsonFactory implements JsonFactory {
    /** Lower than the order of the default factory, so that this one is preferred. */
    private static final int ORDER = 0;

    private final JsonCodec mCodec = new JacksonCodec();

    /** Creates a factory; {@link java.util.ServiceLoader} calls this. */
    public StreamingJsonFactory() {}

    @Override
    public int order() {
        return ORDER;
    }

    @Override
    public JsonCodec codec() {
        return mCodec;
    }
}
