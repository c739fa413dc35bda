package org.sesamepin.node.http;

import org.jspecify.annotations.Nullable;

/**
 * Checks that the numbered events of a stream follow each other without gaps and repetitions, also
 * when the stream is resumed. Events without a number are accepted. Not thread-safe.
 */
public final class EventOrder {
    private static final long UNNUMBERED = -1;
    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE = '~';

    private @Nullable String mLastId;
    private boolean mIntact = true;

    /** Whether the last accepted event had an id that a header can carry. */
    private boolean mLastHasId;

    /**
     * Checks the next event.
     *
     * @param id id of the event; null or empty for none
     * @return whether the event may be forwarded; after the first one that may not, none may
     */
    public boolean accept(@Nullable String id) {
        if (!mIntact) {
            return false;
        }
        if (id == null || id.isEmpty()) {
            mLastHasId = false;
            return true;
        }
        mIntact = mLastId == null || follows(id, mLastId);
        if (mIntact) {
            mLastId = id;
            mLastHasId = canBeHeader(id);
        }
        return mIntact;
    }

    /** Returns whether a target can be told an id, which goes back to it in a header. */
    private static boolean canBeHeader(String id) {
        return id.chars().allMatch(c -> c >= FIRST_PRINTABLE && c <= LAST_PRINTABLE);
    }

    private static boolean follows(String id, String lastId) {
        long number = parse(id);
        long lastNumber = parse(lastId);
        return number == UNNUMBERED || lastNumber == UNNUMBERED || number == lastNumber + 1;
    }

    private static long parse(String id) {
        try {
            return Long.parseLong(id.strip());
        } catch (NumberFormatException e) {
            return UNNUMBERED;
        }
    }

    /**
     * Returns whether all events were in order since the start, or since the stream was resumed.
     */
    public boolean isIntact() {
        return mIntact;
    }

    /** Accepts events again, from the one after the last accepted event on. */
    public void resume() {
        mIntact = true;
    }

    /**
     * Returns whether the stream can be resumed after the last accepted event. Behind an event
     * without an id, a target would send that event again.
     */
    public boolean canResume() {
        return mLastHasId;
    }

    /** Returns the id of the last accepted event that had one, or null. */
    public @Nullable String lastId() {
        return mLastId;
    }
}
