package org.sesamepin.core.config;

import java.util.Map;

/** One section of an INI file, read through property descriptors. */
public final class IniSection {
    private final IniReader mReader;
    private final String mFullName;
    private final String mName;
    private final SectionSchema mSchema;
    private final Map<String, String> mValues;

    IniSection(
            IniReader reader,
            String fullName,
            String name,
            SectionSchema schema,
            Map<String, String> values) {
        mReader = reader;
        mFullName = fullName;
        mName = name;
        mSchema = schema;
        mValues = Map.copyOf(values);
    }

    /** Returns the name that follows the section's type; empty for an unnamed section. */
    public String name() {
        return mName;
    }

    SectionSchema schema() {
        return mSchema;
    }

    /** Returns the unparsed values by key, for a section that allows any key. */
    public Map<String, String> values() {
        return mValues;
    }

    public boolean has(PropertyDescriptor<?> descriptor) {
        return mValues.containsKey(descriptor.name());
    }

    /**
     * Returns the value of a property, or its default if the file does not set it. A missing
     * required value or an invalid value is recorded as a problem and the default is returned, so
     * that parsing continues and finds further problems.
     */
    public <T> T get(PropertyDescriptor<T> descriptor) {
        String text = mValues.get(descriptor.name());
        if (text == null) {
            if (descriptor.isRequired()) {
                addProblem(descriptor, "", "missing; expected " + descriptor.allowed());
            }
            return descriptor.defaultValue();
        }
        try {
            return descriptor.parse(text);
        } catch (IllegalArgumentException e) {
            addProblem(descriptor, text, "expected " + descriptor.allowed());
            return descriptor.defaultValue();
        }
    }

    /** Records a problem with the value of a property of this section. */
    public void addProblem(PropertyDescriptor<?> descriptor, String value, String expected) {
        mReader.addProblem(mFullName, descriptor.name(), value, expected);
    }
}
