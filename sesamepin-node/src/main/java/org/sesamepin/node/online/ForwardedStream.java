package org.sesamepin.node.online;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sesamepin.node.http.EventOrder;
import org.sesamepin.node.http.EventStreamParser;
import org.sesamepin.node.http.StreamEvent;
import org.sesamepin.node.target.TargetHeaders;

/**
 * The stream of events that one caller gets, from one target or, when it is resumed, from several.
 * Only whole events in order are forwarded. Confined to the event loop of its request.
 */
final class ForwardedStream {
    /** Media type of a stream of events. */
    static final String MEDIA_TYPE = "text/event-stream";

    private final HttpServerResponse mCaller;
    private final String mRequestId;
    private final Runnable mOnFirstEvent;
    private final EventStreamParser mParser =
            new EventStreamParser(this::forwardEvent, this::forwardComment);
    private final EventOrder mOrder = new EventOrder();
    private long mEvents;
    private boolean mDone;

    /** Creates a stream; {@code onFirstEvent} runs before the first event is forwarded. */
    ForwardedStream(HttpServerResponse caller, String requestId, Runnable onFirstEvent) {
        mCaller = caller;
        mRequestId = requestId;
        mOnFirstEvent = onFirstEvent;
    }

    /** Forwards the next bytes of a target; returns false when its event is too large. */
    boolean accept(Buffer part) {
        return mParser.accept(part);
    }

    private void forwardEvent(StreamEvent event) {
        if (!mOrder.accept(event.id())) {
            return;
        }
        if (!hasBegun()) {
            mOnFirstEvent.run();
            mCaller.setChunked(true)
                    .putHeader("Content-Type", MEDIA_TYPE)
                    .putHeader("Cache-Control", "no-store")
                    .putHeader(TargetHeaders.REQUEST_ID, mRequestId);
        }
        mEvents++;
        mDone |= event.isDone();
        mCaller.write(event.bytes());
    }

    private void forwardComment(Buffer lines) {
        if (hasBegun() && mOrder.isIntact()) {
            mCaller.write(lines);
        }
    }

    /** Discards a partial event; the bytes of the next target follow. */
    void resume() {
        mParser.restart();
        mOrder.resume();
    }

    /** Returns the number of events forwarded. */
    long events() {
        return mEvents;
    }

    /** Returns whether an event has been forwarded. */
    boolean hasBegun() {
        return mEvents > 0;
    }

    /** Returns whether the event that ends the stream has been forwarded. */
    boolean isDone() {
        return mDone;
    }

    /** Returns whether no event of the present target was missing or came twice. */
    boolean isIntact() {
        return mOrder.isIntact();
    }

    /** Returns whether a target can go on after the last event forwarded. */
    boolean canResume() {
        return mOrder.canResume();
    }

    /** Returns the id after which a target has to go on; null before the first event. */
    @Nullable String lastEventId() {
        return mOrder.lastId();
    }

    /** Returns the size of an event that was received in part only, bytes. */
    int bufferedBytes() {
        return mParser.bufferedBytes();
    }
}
