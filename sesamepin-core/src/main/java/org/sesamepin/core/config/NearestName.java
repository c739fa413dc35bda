package org.sesamepin.core.config;

import java.util.Collection;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/** Finds the known name that a misspelt name probably stands for. */
public final class NearestName {
    private static final int MAX_SUGGESTION_EDIT_DISTANCE = 4;

    private NearestName() {}

    /** Returns the end of a message that names the closest match; empty if none is close. */
    static String suggest(String name, Collection<String> known) {
        String nearest = find(name, known, MAX_SUGGESTION_EDIT_DISTANCE);
        return nearest == null ? "" : "; the closest match is '" + nearest + "'";
    }

    /**
     * Returns the name in {@code known} that is closest to {@code name}, or null.
     *
     * @param maxDistance maximum number of characters to insert, delete or replace
     */
    public static @Nullable String find(String name, Collection<String> known, int maxDistance) {
        return known.stream()
                .filter(k -> editDistance(name, k) <= maxDistance)
                .min(Comparator.comparingInt(k -> editDistance(name, k)))
                .orElse(null);
    }

    private static int editDistance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                int keepOrSubstitute = previous[j - 1] + substitution;
                current[j] = Math.min(keepOrSubstitute, 1 + Math.min(previous[j], current[j - 1]));
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
