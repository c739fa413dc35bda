package org.sesamepin.core.config;

/**
 * One fault in a settings or bundle file.
 *
 * @param file the file as the user named it
 * @param section the section's full name, empty when the fault concerns the whole file
 * @param key the property's name, empty when the fault concerns the whole section
 * @param value the value that was found, empty when none was
 * @param expected what is allowed instead
 */
public record ConfigProblem(
        String file, String section, String key, String value, String expected) {
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file).append(':');
        if (!section.isEmpty()) {
            text.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            text.append(' ').append(key).append(" = '").append(value).append('\'');
        }
        return text.append(": ").append(expected).toString();
    }
}
