package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * The parser forwards only complete events. A target's bytes arrive split at any position, and the
 * caller must receive no part of an event: it would get that part twice when the stream is resumed.
 */
class EventStreamParserTest {
    private final List<String> mEvents = new ArrayList<>();
    private final EventStreamParser mParser =
            new EventStreamParser(event -> mEvents.add(event.toString()));

    private static String event(int id) {
        return "id: " + id + "\ndata: {\"text\":\"word " + id + "\"}\n\n";
    }

    @Test
    void forwardsCompleteEventsForAnySplitOfTheBytes() {
        StringBuilder stream = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            stream.append(event(i));
            expected.add(event(i));
        }
        Random random = new Random(5);
        int offset = 0;
        while (offset < stream.length()) {
            int end = Math.min(stream.length(), offset + 1 + random.nextInt(40));
            assertTrue(mParser.accept(Buffer.buffer(stream.substring(offset, end))));
            offset = end;
        }
        assertEquals(expected, mEvents);
        assertEquals("200", mParser.lastEventId());
        assertFalse(mParser.isDone());
    }

    @Test
    void discardsAPartialEventBeforeTheStreamIsResumed() {
        mParser.accept(Buffer.buffer(event(1) + "id: 2\ndata: {\"te"));
        assertEquals(List.of(event(1)), mEvents);
        assertEquals("1", mParser.lastEventId());
        mParser.discardPartialEvent();
        mParser.accept(Buffer.buffer(event(2) + "data: [DONE]\n\n"));
        assertEquals(List.of(event(1), event(2), "data: [DONE]\n\n"), mEvents);
        assertTrue(mParser.isDone());
    }

    @Test
    void rejectsAnEventAboveTheMaximumSize() {
        Buffer part = Buffer.buffer("x".repeat(600_000));
        assertTrue(mParser.accept(part));
        assertFalse(mParser.accept(part));
    }

    @Test
    void aLongEventInSmallPartsTakesLinearTime() {
        Buffer part = Buffer.buffer("x");
        assertTimeoutPreemptively(
                Duration.ofSeconds(10),
                () -> {
                    for (int i = 0; i < 1 << 20; i++) {
                        assertTrue(mParser.accept(part));
                    }
                });
        assertFalse(mParser.accept(part));
    }
}
