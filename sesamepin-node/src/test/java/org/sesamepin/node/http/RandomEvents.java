package org.sesamepin.node.http;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Numbered events with random texts, written in each form that the format of server-sent events
 * allows: with each kind of line end, a byte order mark, comments, and fields that add no text.
 */
public final class RandomEvents {
    private static final List<String> LINE_ENDS = List.of("\n", "\r\n", "\r");
    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final int MAX_EVENTS = 12;
    private static final int MAX_PIECES = 5;
    private static final List<String> PIECES =
            List.of(
                    "word",
                    "\n",
                    "\n\n",
                    " ",
                    ":",
                    "data:",
                    "data: x",
                    "id: 7",
                    "[DONE]",
                    "data: [DONE]",
                    "\u00e9",
                    "\u4f60",
                    "\ud83d\ude00",
                    "\u2028",
                    "\u0000",
                    "\"",
                    "\\",
                    "\t",
                    "\u0001",
                    "\ufeff");

    private final Random mRandom;
    private final List<String> mTexts = new ArrayList<>();

    /** Draws the texts of up to {@value #MAX_EVENTS} events. */
    public RandomEvents(Random random) {
        mRandom = random;
        int count = 1 + random.nextInt(MAX_EVENTS);
        for (int i = 0; i < count; i++) {
            mTexts.add(randomText());
        }
    }

    private String randomText() {
        StringBuilder text = new StringBuilder();
        int pieces = mRandom.nextInt(MAX_PIECES + 1);
        for (int i = 0; i < pieces; i++) {
            text.append(PIECES.get(mRandom.nextInt(PIECES.size())));
        }
        return text.toString();
    }

    /** Returns the texts of the events; the first one has the id 1. */
    public List<String> texts() {
        return mTexts;
    }

    /** Returns a stream of the events after the one with the id {@code after}, in a random form. */
    public Buffer stream(int after) {
        String lineEnd = LINE_ENDS.get(mRandom.nextInt(LINE_ENDS.size()));
        StringBuilder stream = new StringBuilder(mRandom.nextBoolean() ? BYTE_ORDER_MARK : "");
        for (int id = after + 1; id <= mTexts.size(); id++) {
            for (String line : linesBetween()) {
                stream.append(line).append(lineEnd);
            }
            for (String line : linesOf(id)) {
                stream.append(line).append(lineEnd);
            }
            stream.append(lineEnd);
        }
        return Buffer.buffer(stream.toString().getBytes(StandardCharsets.UTF_8));
    }

    private List<String> linesBetween() {
        return switch (mRandom.nextInt(6)) {
            case 0 -> List.of(": ping", "");
            case 1 -> List.of(": ping");
            case 2 -> List.of("retry: 10", "");
            case 3 -> List.of("");
            default -> List.of();
        };
    }

    private List<String> linesOf(int id) {
        List<String> lines = new ArrayList<>();
        for (String line : mTexts.get(id - 1).split("\n", -1)) {
            lines.add(dataLine(line));
        }
        lines.add(mRandom.nextInt(lines.size() + 1), (mRandom.nextBoolean() ? "id: " : "id:") + id);
        if (mRandom.nextInt(3) == 0) {
            String other = mRandom.nextBoolean() ? ": within" : "event: text";
            lines.add(mRandom.nextInt(lines.size() + 1), other);
        }
        return lines;
    }

    private String dataLine(String line) {
        if (line.isEmpty() && mRandom.nextBoolean()) {
            return "data";
        }
        return (line.startsWith(" ") || mRandom.nextBoolean() ? "data: " : "data:") + line;
    }
}
