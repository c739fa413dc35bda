package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against events that a resumed stream leaves out or repeats. */
class EventOrderTest {
    private final EventOrder mOrder = new EventOrder();

    @Test
    void eventsInOrderAreAccepted() {
        assertTrue(mOrder.accept("4"));
        assertTrue(mOrder.accept("5"));
        assertTrue(mOrder.accept(null));
        assertTrue(mOrder.accept("6"));
        assertEquals("6", mOrder.lastId());
    }

    @Test
    void repeatedEventIsNotAccepted() {
        assertTrue(mOrder.accept("1"));
        assertFalse(mOrder.accept("1"));
        assertFalse(mOrder.isIntact());
    }

    @Test
    void nothingIsAcceptedAfterAGapUntilTheStreamIsResumed() {
        assertTrue(mOrder.accept("1"));
        assertFalse(mOrder.accept("3"));
        assertFalse(mOrder.accept("2"));
        assertFalse(mOrder.accept(null));
        mOrder.resume();
        assertEquals("1", mOrder.lastId());
        assertTrue(mOrder.accept("2"));
    }

    /** Guards against a resumption that repeats an event without an id. */
    @Test
    void streamCannotBeResumedBehindAnEventWithoutAnId() {
        assertFalse(mOrder.canResume());
        mOrder.accept("1");
        assertTrue(mOrder.canResume());
        mOrder.accept(null);
        assertFalse(mOrder.canResume());
        mOrder.accept("2");
        assertTrue(mOrder.canResume());
        mOrder.accept("");
        assertFalse(mOrder.canResume());
        assertEquals("2", mOrder.lastId());
    }

    /** Guards against an id that cannot be sent, or arrives as another one, in a header. */
    @Test
    void streamCannotBeResumedBehindAnIdThatNoHeaderCarries() {
        for (String id : new String[] {"a\u000bb", "a\fb", "a\u0001", "\u00e9", "\u2028"}) {
            assertTrue(mOrder.accept(id));
            assertFalse(mOrder.canResume());
        }
        assertTrue(mOrder.accept("a b~7"));
        assertTrue(mOrder.canResume());
    }

    @Test
    void idsThatAreNoNumbersAreNotCompared() {
        assertTrue(mOrder.accept("a"));
        assertTrue(mOrder.accept("b"));
        assertTrue(mOrder.isIntact());
    }
}
