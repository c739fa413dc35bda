package org.sesamepin.core.prompt;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.Adler32;
import java.util.zip.CRC32;
import java.util.zip.Checksum;
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

    /** Prefix of the part that stands for the whole content of a request. */
    static final String WHOLE_PREFIX = "whole:";

    /** Prefix of the part that stands for one item of a job. */
    private static final String ITEM_PREFIX = "item:";

    private static final int MAX_PARTS = 16;
    private static final int MAX_ID_CHARS = 64;
    private static final int WHOLE_DIGEST_CHARS = 48;

    /** Copies the list. */
    public PromptParts {
        shared = List.copyOf(shared);
    }

    /**
     * Returns parts of bounded number and length for ids that a caller has sent: the first 16, with
     * an id of more than 64 characters, or one that looks like {@link #ofContent}'s or {@link
     * #withItem}'s, replaced by its digest.
     */
    public static PromptParts ofCallerIds(List<String> ids) {
        List<String> bounded = new ArrayList<>();
        for (String id : ids.subList(0, Math.min(ids.size(), MAX_PARTS))) {
            boolean usable = id.length() <= MAX_ID_CHARS && isShared(id);
            bounded.add(usable ? id : digest(id));
        }
        return new PromptParts(bounded);
    }

    /**
     * Returns the parts of a request whose caller names none: the digests of the first 15 of its
     * texts, such as the messages of a conversation, and one of the whole content.
     */
    public static PromptParts ofContent(List<String> texts) {
        int named = Math.min(texts.size(), MAX_PARTS - 1);
        List<String> parts = new ArrayList<>();
        texts.subList(0, named).forEach(text -> parts.add(digest(text)));
        String rest = digest(String.join("\n", texts.subList(named, texts.size())));
        String whole = digest(String.join("\n", parts) + rest);
        parts.add(WHOLE_PREFIX + whole.substring(0, WHOLE_DIGEST_CHARS));
        return new PromptParts(parts);
    }

    /** Returns the part that stands for the whole content; empty when there is none. */
    String content() {
        return shared.stream().filter(PromptParts::isWhole).findFirst().orElse("");
    }

    /** Returns whether a part stands for the whole content of a request. */
    static boolean isWhole(String id) {
        return id.startsWith(WHOLE_PREFIX);
    }

    private static String digest(String id) {
        byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
        return HexFormat.of().formatHex(KeyDigest.sha256().digest(bytes));
    }

    /** Returns whether a part stands for one item of a job. */
    static boolean isItem(String id) {
        return id.startsWith(ITEM_PREFIX);
    }

    /** Returns whether a part is one that requests with other contents may have too. */
    static boolean isShared(String id) {
        return !isWhole(id) && !isItem(id);
    }

    /** Returns these parts and one that stands for an item of a job. */
    public PromptParts withItem(String itemId) {
        List<String> parts = new ArrayList<>(shared);
        parts.add(ITEM_PREFIX + itemId);
        return new PromptParts(parts);
    }

    /**
     * Returns these parts and one that stands for the whole content of a request: who sent what to
     * which path. It is the same for each request of that content, whatever its id. The content is
     * told by checksums, since each request needs them; as the customer's name stands in front, a
     * customer can make them collide with its own requests only.
     *
     * @param customer name of the customer; empty for an anonymous caller
     * @param uri path and query
     */
    public PromptParts withContent(String customer, String uri, byte[] body) {
        byte[] path = uri.getBytes(StandardCharsets.UTF_8);
        String name = customer.length() <= MAX_ID_CHARS ? customer : digest(customer);
        String sums = checksum(new CRC32(), path, body) + checksum(new Adler32(), path, body);
        List<String> parts = new ArrayList<>(shared);
        parts.add(WHOLE_PREFIX + name + '/' + sums + path.length + '-' + body.length);
        return new PromptParts(parts);
    }

    private static String checksum(Checksum checksum, byte[] path, byte[] body) {
        checksum.update(path, 0, path.length);
        checksum.update(body, 0, body.length);
        return Long.toHexString(checksum.getValue()) + '-';
    }

    /** Returns the id of the item of a job to which the prompt belongs; empty for a request. */
    public String itemId() {
        return shared.stream()
                .filter(PromptParts::isItem)
                .findFirst()
                .map(part -> part.substring(ITEM_PREFIX.length()))
                .orElse("");
    }

    /** Returns the ids for a log line, separated by {@code +}; {@code -} when there are none. */
    public String label() {
        return shared.isEmpty() ? "-" : String.join("+", shared);
    }
}
