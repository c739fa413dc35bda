package org.sesamepin.node.online;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events, so that only whole events are passed on, and keeps the id
 * of the last one, at which a broken stream is resumed.
 */
final class EventStreamParser {
    /** Largest event, bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String END = "data: [DONE]";

    private final Consumer<Buffer> mEvents;
    private Buffer mRest = Buffer.buffer();
    private @Nullable String mLastId;
    private boolean mDone;

    /** Creates a parser that passes on each whole event with its blank line. */
    EventStreamParser(Consumer<Buffer> events) {
        mEvents = events;
    }

    /** Takes the next bytes; returns false when an event is too large. */
    boolean accept(Buffer part) {
        mRest.appendBuffer(part);
        int from = 0;
        for (int i = Math.max(0, mRest.length() - part.length() - 1); i + 1 < mRest.length(); i++) {
            if (mRest.getByte(i) == '\n' && mRest.getByte(i + 1) == '\n') {
                emit(mRest.getBuffer(from, i + 2));
                from = i + 2;
                i++;
            }
        }
        mRest = mRest.getBuffer(from, mRest.length());
        return mRest.length() <= MAX_EVENT_BYTES;
    }

    private void emit(Buffer event) {
        String text = event.toString(StandardCharsets.UTF_8);
        if (text.startsWith("id: ")) {
            mLastId = text.substring("id: ".length(), text.indexOf('\n'));
        }
        mDone |= text.contains(END);
        mEvents.accept(event);
    }

    /** Forgets a partial event, before the stream is resumed. */
    void restart() {
        mRest = Buffer.buffer();
    }

    @Nullable String lastId() {
        return mLastId;
    }

    /** Tells whether the stream's own end was seen. */
    boolean isDone() {
        return mDone;
    }
}
