package org.sesamepin.node.http;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events, so that only complete events are forwarded, and records
 * the id of the last one, after which an interrupted stream is resumed.
 */
public final class EventStreamParser {
    /** Maximum size of an event, bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String ID_FIELD = "id:";
    private static final String DONE_EVENT = "data: [DONE]";

    private final Consumer<Buffer> mEventConsumer;
    private Buffer mBuffer = Buffer.buffer();
    private @Nullable String mLastEventId;
    private @Nullable String mCurrentEventId;
    private boolean mDone;

    /** Creates a parser; {@code events} receives each complete event with its final blank line. */
    public EventStreamParser(Consumer<Buffer> events) {
        mEventConsumer = events;
    }

    /** Parses the next received bytes; returns false when the current event is too large. */
    public boolean accept(Buffer part) {
        int firstNew = Math.max(0, mBuffer.length() - 1);
        mBuffer.appendBuffer(part);
        int eventStart = 0;
        for (int i = firstNew; i + 1 < mBuffer.length(); i++) {
            if (mBuffer.getByte(i) == '\n' && mBuffer.getByte(i + 1) == '\n') {
                emit(mBuffer.getBuffer(eventStart, i + 2));
                eventStart = i + 2;
                i++;
            }
        }
        // A partial event is not copied with each part: that takes quadratic time for a long one.
        if (eventStart > 0) {
            mBuffer = mBuffer.getBuffer(eventStart, mBuffer.length());
        }
        return mBuffer.length() <= MAX_EVENT_BYTES;
    }

    private void emit(Buffer event) {
        String text = event.toString(StandardCharsets.UTF_8);
        mCurrentEventId = null;
        for (String line : text.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                mCurrentEventId = line.substring(ID_FIELD.length()).strip();
                mLastEventId = mCurrentEventId;
            }
        }
        mDone |= text.contains(DONE_EVENT);
        mEventConsumer.accept(event);
    }

    /** Discards an incomplete event and a false end; called before the stream is resumed. */
    public void discardPartialEvent() {
        mBuffer = Buffer.buffer();
        mDone = false;
    }

    /** Returns the id of the event that the consumer is receiving, or null when it has none. */
    public @Nullable String currentEventId() {
        return mCurrentEventId;
    }

    /** Returns the id of the last complete event that had one, or null. */
    public @Nullable String lastEventId() {
        return mLastEventId;
    }

    /** Returns the size of an event that was received in part only, bytes. */
    public int bufferedBytes() {
        return mBuffer.length();
    }

    /** Returns whether an event has been received in part only. */
    public boolean hasPartialEvent() {
        return mBuffer.length() > 0;
    }

    /** Returns whether the event {@code data: [DONE]} was received, which ends the stream. */
    public boolean isDone() {
        return mDone;
    }
}
