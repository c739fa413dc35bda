package org.sesamepin.core.config;

import java.util.List;

/**
 * Properties allowed in one kind of section.
 *
 * @param type first word of the section's name, for example {@code customer}
 * @param named whether a name follows the type, as in {@code [customer arrieros-sur]}
 * @param properties the properties allowed; empty for a section of free keys
 */
public record SectionSchema(String type, boolean named, List<PropertyDescriptor<?>> properties) {
    /** Creates a schema from its properties. */
    public static SectionSchema of(
            String type, boolean named, PropertyDescriptor<?>... properties) {
        return new SectionSchema(type, named, List.of(properties));
    }

    /** Tells whether any key is allowed, as for a table of names and values. */
    public boolean allowsAnyKey() {
        return properties.isEmpty();
    }
}
