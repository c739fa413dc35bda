package org.sesamepin.core.check;

import java.util.Map;

/**
 * An entry of a configuration file, as reports name it and as two versions of it are compared.
 *
 * @param label name in reports, unique among the entries, for example {@code [route bookings]}
 * @param line line in the file, from 1; 0 if unknown
 * @param settings values by name; reports quote them
 * @param secrets values by name that are compared, but never quoted
 */
public record ConfigEntry(
        String label, int line, Map<String, String> settings, Map<String, String> secrets) {
    /** Creates an entry without secrets. */
    public ConfigEntry(String label, int line, Map<String, String> settings) {
        this(label, line, settings, Map.of());
    }
}
