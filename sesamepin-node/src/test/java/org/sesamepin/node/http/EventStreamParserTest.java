package org.sesamepin.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The parser forwards only complete events. A target's bytes arrive split at any position, and the
 * caller must receive no part of an event: it would get that part twice when the stream is resumed.
 */
class EventStreamParserTest {
    private static final int SEEDS = 2_000;

    private final List<String> mEvents = new ArrayList<>();
    private final List<StreamEvent> mParsed = new ArrayList<>();
    private final List<String> mComments = new ArrayList<>();
    private final Buffer mForwarded = Buffer.buffer();
    private final EventStreamParser mParser =
            new EventStreamParser(this::recordEvent, this::recordComment);

    private void recordEvent(StreamEvent event) {
        mEvents.add(event.bytes().toString());
        mParsed.add(event);
        mForwarded.appendBuffer(event.bytes());
    }

    private void recordComment(Buffer lines) {
        mComments.add(lines.toString());
        mForwarded.appendBuffer(lines);
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: {\"text\":\"word " + id + "\"}\n\n";
    }

    private void accept(String part) {
        assertTrue(mParser.accept(Buffer.buffer(part)));
    }

    private void acceptInParts(Buffer stream, Random random, int maxBytes) {
        int offset = 0;
        while (offset < stream.length()) {
            int end = Math.min(stream.length(), offset + 1 + random.nextInt(maxBytes));
            assertTrue(mParser.accept(stream.getBuffer(offset, end)));
            offset = end;
        }
    }

    private List<String> data() {
        return mParsed.stream().map(StreamEvent::data).collect(Collectors.toList());
    }

    @Test
    void forwardsCompleteEventsForAnySplitOfTheBytes() {
        StringBuilder stream = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 1; i <= 200; i++) {
            stream.append(event(i));
            expected.add(event(i));
        }
        acceptInParts(Buffer.buffer(stream.toString()), new Random(5), 40);
        assertEquals(expected, mEvents);
        assertEquals("200", mParsed.get(199).id());
        assertFalse(mParsed.stream().anyMatch(StreamEvent::isDone));
    }

    @Test
    void discardsAPartialEventBeforeTheStreamIsResumed() {
        accept(event(1) + "id: 2\ndata: {\"te");
        assertEquals(List.of(event(1)), mEvents);
        assertTrue(mParser.hasPartialEvent());
        mParser.restart();
        assertFalse(mParser.hasPartialEvent());
        accept(event(2) + "data: [DONE]\n\n");
        assertEquals(List.of(event(1), event(2), "data: [DONE]\n\n"), mEvents);
        assertTrue(mParsed.get(2).isDone());
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

    /** Guards against streams of engines whose lines end with CR LF or CR, which gave no event. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void eventsAreCompleteWithEachKindOfLineEnd(String lineEnd) {
        String stream = (event(1) + event(2)).replace("\n", lineEnd);
        for (byte next : stream.getBytes(StandardCharsets.UTF_8)) {
            assertTrue(mParser.accept(Buffer.buffer(new byte[] {next})));
        }
        assertEquals(List.of("1", "2"), mParsed.stream().map(StreamEvent::id).toList());
        assertEquals(List.of("{\"text\":\"word 1\"}", "{\"text\":\"word 2\"}"), data());
        assertEquals(stream, mForwarded.toString());
        assertFalse(mParser.hasPartialEvent());
    }

    /** Guards against an event that waits for the LF of a CR LF which may not come. */
    @Test
    void eventPassesWithItsLastCr() {
        accept("data: a\r\n\r");
        assertEquals(List.of("a"), data());
        accept("\n");
        accept("data: b\r\n\r\n");
        assertEquals(List.of("a", "b"), data());
        assertEquals("data: a\r\n\r\ndata: b\r\n\r\n", mForwarded.toString());
    }

    /** Guards against the loss of the first id behind a byte order mark. */
    @Test
    void byteOrderMarkIsNotPartOfTheFirstEvent() {
        for (byte next : ("\uFEFF" + event(1)).getBytes(StandardCharsets.UTF_8)) {
            assertTrue(mParser.accept(Buffer.buffer(new byte[] {next})));
        }
        assertEquals(List.of(event(1)), mEvents);
        assertEquals("1", mParsed.get(0).id());
    }

    /** Guards against a keep-alive that is taken for an event without an id. */
    @Test
    void commentsAndOtherBlocksBetweenEventsAreNoEvents() {
        accept(": first\n\nretry: 5\n\n" + event(1));
        accept(": ping\n\n");
        accept("retry: 10\n\n");
        accept(event(2) + ": end");
        assertEquals(List.of(": first\n\nretry: 5\n\n" + event(1), event(2)), mEvents);
        assertEquals(List.of(": ping\n", "\n", "retry: 10\n\n"), mComments);
        assertFalse(mParser.hasPartialEvent());
    }

    /** Guards against a target that sends comments without end, to a caller that reads them. */
    @Test
    void commentsWithoutEndAreTooLarge() {
        String comments = ": ping\n\n".repeat(75_000);
        accept(event(1) + comments + event(2) + comments);
        assertFalse(mParser.accept(Buffer.buffer(comments)));
        mParser.restart();
        accept(event(2));
    }

    /** Guards against a stream whose event is cut and that counts as whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {"d", "id: 2", "id: 2\n", "data: x\n", "data: x\n: within\n", "event: x\n"})
    void partOfAnEventIsNoEnd(String part) {
        accept(event(1) + part);
        assertTrue(mParser.hasPartialEvent());
    }

    /** Guards against an event without text that is taken for one with an empty text. */
    @Test
    void eventWithoutADataFieldHasNoData() {
        accept("id: 1\n\nid: 2\ndata\n\nid: 3\ndata:\ndata:\n\n");
        assertNull(mParsed.get(0).data());
        assertEquals("", mParsed.get(1).data());
        assertEquals("\n", mParsed.get(2).data());
    }

    /** Guards against field values that are read otherwise than the format has them. */
    @Test
    void fieldsAreReadAsTheFormatDefinesThem() {
        accept("id:  4 \nid2: 5\n id: 6\ndata:  x \ndatax: y\ndata : z\n\n");
        accept("id: 1\nid\ndata: a\n\n");
        accept("id: 1\nid: 2\u0000\ndata: b\n\n");
        accept("id: 1\nid: 2\ndata: c\n\n");
        assertEquals(List.of(" 4 ", "", "1", "2"), mParsed.stream().map(StreamEvent::id).toList());
        assertEquals(List.of(" x ", "a", "b", "c"), data());
    }

    /** Guards against a text that ends the stream because it holds the marker of its end. */
    @Test
    void onlyTheWholeMarkerIsTheEnd() {
        accept("data: {\"text\":\"data: [DONE]\"}\n\n");
        accept("data: [DONE] \n\ndata: x\ndata: [DONE]\n\n: data: [DONE]\n\n");
        assertFalse(mParsed.stream().anyMatch(StreamEvent::isDone));
        accept("id: 4\r\ndata:[DONE]\r\n\r\n");
        assertTrue(mParsed.get(mParsed.size() - 1).isDone());
    }

    /** Guards against bytes that are no UTF-8 and change the text beside them. */
    @Test
    void bytesThatAreNoTextAreReplaced() {
        Buffer event = Buffer.buffer("data: a").appendByte((byte) 0xC3);
        accept("");
        assertTrue(mParser.accept(event.appendString("\ndata: b\n\n")));
        assertEquals(List.of("a\uFFFD\nb"), data());
    }

    /** Guards against texts or ids that depend on the form of a stream or on its parts. */
    @Test
    void randomStreamsHaveTheTextsThatWereWritten() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            RandomEvents events = new RandomEvents(random);
            Buffer stream = events.stream(0);
            List<StreamEvent> parsed = new ArrayList<>();
            EventStreamParser parser = new EventStreamParser(parsed::add, lines -> {});
            int at = 0;
            while (at < stream.length()) {
                int end = Math.min(stream.length(), at + 1 + random.nextInt(20));
                assertTrue(parser.accept(stream.getBuffer(at, end)));
                at = end;
            }
            String message = "seed " + seed;
            assertEquals(events.texts(), parsed.stream().map(StreamEvent::data).toList(), message);
            for (int i = 0; i < parsed.size(); i++) {
                assertEquals(Integer.toString(i + 1), parsed.get(i).id(), message);
            }
            assertFalse(parser.hasPartialEvent(), message);
        }
    }
}
