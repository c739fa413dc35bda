package org.sesamepin.core.prompt;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.sesamepin.core.key.KeyDigest;

/**
 * The parts of a request's prompt that other requests may share, in order. The last part of a
 * prompt belongs to the request alone and is not listed.
 *
 * @param shared ids of the shared parts
 */
public record PromptParts(List<String> shared) {
    /** The prompt of a request that names no parts. */
    public static final PromptParts NONE = new PromptParts(List.of());

    private static final int MAX_PARTS = 16;
    private static final int MAX_ID_CHARS = 64;

    /** Copies the list. */
    public PromptParts {
        shared = List.copyOf(shared);
    }

    /**
     * Returns parts of bounded number and length for ids that a caller has sent: the first 16, with
     * an id of more than 64 characters replaced by its digest.
     */
    public static PromptParts ofCallerIds(List<String> ids) {
        List<String> bounded = new ArrayList<>();
        for (String id : ids.subList(0, Math.min(ids.size(), MAX_PARTS))) {
            bounded.add(id.length() <= MAX_ID_CHARS ? id : digest(id));
        }
        return new PromptParts(bounded);
    }

    private static String digest(String id) {
        byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
        return HexFormat.of().formatHex(KeyDigest.sha256().digest(bytes));
    }

    /** Returns these parts and one more. */
    public PromptParts with(String id) {
        List<String> parts = new ArrayList<>(shared);
        parts.add(id);
        return new PromptParts(parts);
    }

    /** Returns the ids for a log line, separated by {@code +}; {@code -} when there are none. */
    public String label() {
        return shared.isEmpty() ? "-" : String.join("+", shared);
    }
}
