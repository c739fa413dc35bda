package org.sesamepin.node.http;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into events, without changing their bytes. Lines end with
 * LF, CR LF or CR; a byte order mark at the start is left out. Comments, blank lines and blocks
 * that are not events pass as soon as they are complete, once the first event has passed; those
 * before it are part of its bytes, since nothing of a response is forwarded before its first event.
 */
public final class EventStreamParser {
    /** Maximum size of an event with the lines between it and the one before, bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private final Consumer<StreamEvent> mEventConsumer;
    private final Consumer<Buffer> mCommentConsumer;

    /** Bytes that have not passed; those before {@link #mBlockStart} pass with the current part. */
    private Buffer mBuffer = Buffer.buffer();

    private int mBlockStart;

    /** Position in the buffer at which the current line starts. */
    private int mLineStart;

    /** Position in the buffer of the first byte that has not been looked at. */
    private int mNext;

    private boolean mAtStart = true;

    /** Whether an event of this response has passed. */
    private boolean mHasEvent;

    /** Whether the current block has a line that is neither blank nor a comment. */
    private boolean mInEvent;

    /** Size of the lines that have passed since the last event, bytes. */
    private long mCommentBytes;

    /** Whether the last line ended with a CR that was the last byte received. */
    private boolean mMayEndWithLf;

    /**
     * Creates a parser.
     *
     * @param events receives each complete event
     * @param comments receives complete lines between events, with their line ends
     */
    public EventStreamParser(Consumer<StreamEvent> events, Consumer<Buffer> comments) {
        mEventConsumer = events;
        mCommentConsumer = comments;
    }

    /**
     * Parses the next received bytes.
     *
     * @return whether the stream may go on; it may not once the current event, or what stands
     *     between two events, is too large
     */
    public boolean accept(Buffer part) {
        mBuffer.appendBuffer(part);
        if (mAtStart && !skipByteOrderMark()) {
            return true;
        }
        skipSecondHalfOfLineEnd();
        while (mNext < mBuffer.length()) {
            byte current = mBuffer.getByte(mNext);
            mNext++;
            if (current == '\n') {
                endLine(mNext - 1);
            } else if (current == '\r') {
                int contentEnd = mNext - 1;
                mMayEndWithLf = true;
                skipLf();
                endLine(contentEnd);
            }
        }
        removePassedBytes();
        return mBuffer.length() + mCommentBytes <= MAX_EVENT_BYTES;
    }

    /** Removes a byte order mark; returns false while it has been received in part only. */
    private boolean skipByteOrderMark() {
        int known = Math.min(BYTE_ORDER_MARK.length, mBuffer.length());
        for (int i = 0; i < known; i++) {
            if (mBuffer.getByte(i) != BYTE_ORDER_MARK[i]) {
                mAtStart = false;
                return true;
            }
        }
        if (known < BYTE_ORDER_MARK.length) {
            return false;
        }
        mBuffer = mBuffer.getBuffer(known, mBuffer.length());
        mAtStart = false;
        return true;
    }

    /** Adds an LF to the line whose CR was the last byte of an earlier part. */
    private void skipSecondHalfOfLineEnd() {
        int before = mNext;
        skipLf();
        if (mNext == before) {
            return;
        }
        mLineStart = mNext;
        if (!mInEvent) {
            passComment();
        }
    }

    private void skipLf() {
        if (!mMayEndWithLf || mNext == mBuffer.length()) {
            return;
        }
        mMayEndWithLf = false;
        if (mBuffer.getByte(mNext) == '\n') {
            mNext++;
        }
    }

    private void endLine(int contentEnd) {
        boolean isBlank = contentEnd == mLineStart;
        boolean isComment = !isBlank && mBuffer.getByte(mLineStart) == ':';
        mLineStart = mNext;
        if (!isBlank && !isComment) {
            mInEvent = true;
        } else if (!mInEvent) {
            passComment();
        } else if (isBlank) {
            endBlock();
        }
    }

    private void endBlock() {
        mInEvent = false;
        StreamEvent event = StreamEvent.parse(mBuffer.getBuffer(mBlockStart, mNext));
        if (!event.isEvent()) {
            passComment();
            return;
        }
        mBlockStart = mNext;
        mHasEvent = true;
        mCommentBytes = 0;
        mEventConsumer.accept(event);
    }

    private void passComment() {
        if (!mHasEvent) {
            return;
        }
        Buffer lines = mBuffer.getBuffer(mBlockStart, mNext);
        mBlockStart = mNext;
        mCommentBytes += lines.length();
        mCommentConsumer.accept(lines);
    }

    /**
     * An incomplete event is not copied with each part: that takes quadratic time for a long one.
     */
    private void removePassedBytes() {
        if (mBlockStart == 0) {
            return;
        }
        mBuffer = mBuffer.getBuffer(mBlockStart, mBuffer.length());
        mNext -= mBlockStart;
        mLineStart -= mBlockStart;
        mBlockStart = 0;
    }

    /** Discards what was received in part only; the bytes of another response follow. */
    public void restart() {
        mBuffer = Buffer.buffer();
        mBlockStart = 0;
        mLineStart = 0;
        mNext = 0;
        mAtStart = true;
        mHasEvent = false;
        mInEvent = false;
        mCommentBytes = 0;
        mMayEndWithLf = false;
    }

    /** Returns the size of what was received in part only, bytes. */
    public int bufferedBytes() {
        return mBuffer.length();
    }

    /** Returns whether an event has been received in part only. */
    public boolean hasPartialEvent() {
        boolean isInLine = mLineStart < mBuffer.length();
        return mInEvent || (isInLine && mBuffer.getByte(mLineStart) != ':');
    }
}
