package org.sesamepin.node.job;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.sesamepin.node.spi.StoreEntry;

/**
 * Splits a value that is too large for one entry of the store into several, which are written in
 * one transaction. The first part has the key of the value; the keys of the others follow it
 * directly in the order of keys.
 */
final class ValueParts {
    private static final char PART_SEPARATOR = '/';

    /** A part of a value and its key. */
    record Part(String key, byte[] value) {}

    private ValueParts() {}

    /** Splits {@code value} into parts of at most {@code maxBytes}. */
    static List<Part> split(String key, byte[] value, int maxBytes) {
        List<Part> parts = new ArrayList<>();
        int start = 0;
        do {
            int end = Math.min(value.length, start + maxBytes);
            String suffix =
                    parts.isEmpty() ? "" : PART_SEPARATOR + String.format("%04d", parts.size());
            parts.add(new Part(key + suffix, Arrays.copyOfRange(value, start, end)));
            start = end;
        } while (start < value.length);
        return parts;
    }

    /**
     * Joins the parts of values.
     *
     * @param prefix prefix of the keys of all values; the rest of a key has no separator
     * @param entries entries in the order of their keys
     * @return one entry for each value, with the key and revision of its first part
     */
    static List<StoreEntry> join(String prefix, List<StoreEntry> entries) {
        List<StoreEntry> joined = new ArrayList<>();
        int index = 0;
        while (index < entries.size()) {
            StoreEntry first = entries.get(index++);
            int end = index;
            while (end < entries.size() && isFurtherPart(prefix, entries.get(end))) {
                end++;
            }
            joined.add(end == index ? first : joinParts(first, entries.subList(index, end)));
            index = end;
        }
        return joined;
    }

    private static boolean isFurtherPart(String prefix, StoreEntry entry) {
        return entry.key().indexOf(PART_SEPARATOR, prefix.length()) >= 0;
    }

    private static StoreEntry joinParts(StoreEntry first, List<StoreEntry> furtherParts) {
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        value.writeBytes(first.value());
        furtherParts.forEach(part -> value.writeBytes(part.value()));
        return new StoreEntry(first.key(), value.toByteArray(), first.modRevision());
    }
}
