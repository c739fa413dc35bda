package org.sesamepin.node.http;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events, so that only whole events are passed on, and keeps the id
 * of the last one, at which a broken stream is resumed.
 */
public final class EventStreamParser {
    /** Largest event, bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String ID_FIELD = "id:";
    private static final String END = "data: [DONE]";

    private final Consumer<Buffer> mEvents;
    private Buffer mRest = Buffer.buffer();
    private @Nullable String mLastId;
    private boolean mDone;

    /** Creates a parser that passes on each whole event with its blank line. */
    public EventStreamParser(Consumer<Buffer> events) {
        mEvents = events;
    }

    /** Takes the next bytes; returns false when an event is too large. */
    public boolean accept(Buffer part) {
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
        for (String line : text.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                mLastId = line.substring(ID_FIELD.length()).strip();
            }
        }
        mDone |= text.contains(END);
        mEvents.accept(event);
    }

    /** Forgets a partial event, before the stream is resumed. */
    public void discardPartialEvent() {
        mRest = Buffer.buffer();
    }

    /** Returns the id of the last event passed on, or null. */
    public @Nullable String lastEventId() {
        return mLastId;
    }

    /** Tells whether a part of an event waits for its rest. */
    public boolean hasPartialEvent() {
        return mRest.length() > 0;
    }

    /** Tells whether the stream's own end was seen. */
    public boolean isDone() {
        return mDone;
    }
}
