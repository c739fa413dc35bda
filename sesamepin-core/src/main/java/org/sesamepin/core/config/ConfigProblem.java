package org.sesamepin.core.config;

/**
 * One problem in a settings or bundle file.
 *
 * @param file the path of the file as the user gave it
 * @param line line of the entry, from 1; 0 if unknown
 * @param section the section's full name, empty if the problem concerns the whole file
 * @param key the property's name, empty if the problem concerns the whole section
 * @param value the value found, empty if there was none
 * @param expected which values are allowed, or what is wrong
 */
public record ConfigProblem(
        String file, int line, String section, String key, String value, String expected) {
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file).append(':');
        if (line > 0) {
            text.append(line).append(':');
        }
        if (!section.isEmpty()) {
            text.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            text.append(' ').append(key).append(" = '").append(value).append('\'');
        }
        return text.append(": ").append(expected).toString();
    }

    /** Returns what is wrong with the value, without the file, the line and the section. */
    public String description() {
        return key.isEmpty() ? expected : key + " = '" + value + "': " + expected;
    }
}
