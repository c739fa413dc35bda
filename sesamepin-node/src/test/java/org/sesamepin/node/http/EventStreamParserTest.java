package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Only whole events are passed on, however the bytes arrive. */
class EventStreamParserTest {
    private final List<String> mEvents = new ArrayList<>();
    private final EventStreamParser mParser =
            new EventStreamParser(event -> mEvents.add(event.toString()));

    private static String event(int id) {
        return "id: " + id + "\ndata: {\"text\":\"word " + id + "\"}\n\n";
    }

    @Test
    void passesOnWholeEventsWhateverTheSplit() {
        StringBuilder stream = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            stream.append(event(i));
            expected.add(event(i));
        }
        Random random = new Random(5);
        int at = 0;
        while (at < stream.length()) {
            int end = Math.min(stream.length(), at + 1 + random.nextInt(40));
            assertTrue(mParser.accept(Buffer.buffer(stream.substring(at, end))));
            at = end;
        }
        assertEquals(expected, mEvents);
        assertEquals("200", mParser.lastEventId());
        assertFalse(mParser.isDone());
    }

    @Test
    void holdsBackAPartialEventAndForgetsItBeforeAResume() {
        mParser.accept(Buffer.buffer(event(1) + "id: 2\ndata: {\"te"));
        assertEquals(List.of(event(1)), mEvents);
        assertEquals("1", mParser.lastEventId());
        mParser.discardPartialEvent();
        mParser.accept(Buffer.buffer(event(2) + "data: [DONE]\n\n"));
        assertEquals(List.of(event(1), event(2), "data: [DONE]\n\n"), mEvents);
        assertTrue(mParser.isDone());
    }

    @Test
    void refusesAnEventThatNeverEnds() {
        Buffer part = Buffer.buffer("x".repeat(600_000));
        assertTrue(mParser.accept(part));
        assertFalse(mParser.accept(part));
    }
}
