package org.sesamepin.core.config;

import java.util.List;

/**
 * Describes which properties a section of one type may have.
 *
 * @param type first word of the section header, for example {@code customer}
 * @param named whether a name follows the type, as in {@code [customer example]}
 * @param properties the allowed properties; empty if the section may have any key
 */
public record SectionSchema(String type, boolean named, List<PropertyDescriptor<?>> properties) {
    /** Creates a schema from its properties. */
    public static SectionSchema of(
            String type, boolean named, PropertyDescriptor<?>... properties) {
        return new SectionSchema(type, named, List.of(properties));
    }

    /** Returns whether any key is allowed, as in a table of names and values. */
    public boolean allowsAnyKey() {
        return properties.isEmpty();
    }
}
