package org.sesamepin.core.config;

import java.util.HashMap;
import java.util.Map;

/**
 * Line numbers of the sections and keys of an INI text, which the INI library does not report. Of
 * repeated sections and keys it knows the last one, whose values the reader takes.
 */
public final class IniLineIndex {
    private final Map<String, Integer> mSectionLines = new HashMap<>();
    private final Map<String, Map<String, Integer>> mKeyLines = new HashMap<>();

    /** Indexes {@code text}. A line that is neither a section header nor a key is passed over. */
    public IniLineIndex(String text) {
        String section = "";
        int number = 0;
        for (String line : text.split("\\R", -1)) {
            number++;
            String trimmed = line.trim();
            if (trimmed.startsWith("[") && trimmed.endsWith("]")) {
                section = trimmed.substring(1, trimmed.length() - 1).trim();
                mSectionLines.put(section, number);
            } else if (!trimmed.isEmpty() && !trimmed.startsWith("#") && !trimmed.startsWith(";")) {
                String key = trimmed.split("\\s*[=:]", 2)[0];
                mKeyLines.computeIfAbsent(section, s -> new HashMap<>()).put(key, number);
            }
        }
    }

    /**
     * Returns the line of {@code key} in {@code section}, from 1; the line of the section's header
     * if the key is empty or absent, and 0 if the section is absent.
     *
     * @param section full name of the section, for example {@code customer north}
     */
    public int lineOf(String section, String key) {
        int header = mSectionLines.getOrDefault(section, 0);
        return mKeyLines.getOrDefault(section, Map.of()).getOrDefault(key, header);
    }
}
