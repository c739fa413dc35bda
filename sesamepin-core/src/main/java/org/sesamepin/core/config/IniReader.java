package org.sesamepin.core.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Reads an INI file, checks it against section schemas and collects every problem with its section
 * and key, so that a user can correct all of them at once.
 */
public final class IniReader {
    private static final int MAX_SECTION_NAME_CHARS = 200;
    private static final Pattern PARSE_ERROR_LINE = Pattern.compile("at line: (\\d+)");

    private final String mFile;
    private final Map<String, SectionSchema> mSchemas = new TreeMap<>();
    private final List<ConfigProblem> mProblems = new ArrayList<>();
    private final List<IniSection> mSections = new ArrayList<>();
    private boolean mReadable;
    private IniLineIndex mLines = new IniLineIndex("");

    /** Creates a reader that reports problems under the name {@code file}. */
    public IniReader(String file, Collection<SectionSchema> schemas) {
        mFile = file;
        for (SectionSchema schema : schemas) {
            mSchemas.put(schema.type(), schema);
        }
    }

    /**
     * Parses {@code text}, the content of the file. A text of more than {@code maxBytes} bytes in
     * UTF-8 is recorded as a problem.
     */
    public IniReader read(String text, int maxBytes) {
        if (text.getBytes(StandardCharsets.UTF_8).length > maxBytes) {
            addProblem("", "", "", "the file is larger than " + maxBytes + " bytes");
            return this;
        }
        mLines = new IniLineIndex(text);
        Ini ini = new Ini();
        Config config = new Config();
        config.setEscape(false);
        config.setMultiSection(true);
        config.setMultiOption(true);
        config.setEmptyOption(true);
        config.setGlobalSection(false);
        ini.setConfig(config);
        try {
            ini.load(new StringReader(text));
        } catch (IOException | RuntimeException e) {
            String message = String.valueOf(e.getMessage());
            String problem = "not an INI file: " + message;
            mProblems.add(new ConfigProblem(mFile, parseErrorLine(message), "", "", "", problem));
            return this;
        }
        mReadable = true;
        for (String name : ini.keySet()) {
            List<Profile.Section> occurrences = ini.getAll(name);
            if (occurrences.size() > 1) {
                addProblem(
                        name,
                        "",
                        "",
                        "the section occurs " + occurrences.size() + " times; merge them");
            }
            readSection(name, occurrences.get(occurrences.size() - 1));
        }
        return this;
    }

    private static int parseErrorLine(String message) {
        Matcher matcher = PARSE_ERROR_LINE.matcher(message);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    private void readSection(String fullName, Profile.Section section) {
        if (fullName.length() > MAX_SECTION_NAME_CHARS) {
            addProblem(fullName.substring(0, 40), "", "", "the name of the section is too long");
            return;
        }
        int space = fullName.indexOf(' ');
        String type = space < 0 ? fullName : fullName.substring(0, space);
        String name = space < 0 ? "" : fullName.substring(space + 1).trim();
        SectionSchema schema = mSchemas.get(type);
        if (schema == null) {
            addProblem(
                    fullName,
                    "",
                    "",
                    "unknown section" + NearestName.suggest(type, mSchemas.keySet()));
            return;
        }
        if (schema.named() == name.isEmpty()) {
            String form = schema.named() ? "[" + type + " NAME]" : "[" + type + "]";
            addProblem(fullName, "", "", "write the section header as " + form);
            return;
        }
        Map<String, String> values = new TreeMap<>();
        for (String key : section.keySet()) {
            List<String> occurrences = section.getAll(key);
            String value = occurrences.get(occurrences.size() - 1);
            if (occurrences.size() > 1) {
                addProblem(fullName, key, String.valueOf(value), "the key occurs more than once");
            }
            values.put(key, value == null ? "" : value.trim());
        }
        checkKeys(fullName, schema, values);
        mSections.add(new IniSection(this, fullName, name, schema, values));
    }

    private void checkKeys(String fullName, SectionSchema schema, Map<String, String> values) {
        if (schema.allowsAnyKey()) {
            return;
        }
        List<String> known =
                schema.properties().stream().<String>map(PropertyDescriptor::name).toList();
        for (Map.Entry<String, String> entry : values.entrySet()) {
            if (!known.contains(entry.getKey())) {
                addProblem(
                        fullName,
                        entry.getKey(),
                        entry.getValue(),
                        "unknown key" + NearestName.suggest(entry.getKey(), known));
            }
        }
    }

    /**
     * Returns whether the text was parsed. If not, its sections are unknown, so that missing values
     * would be reported for nothing.
     */
    public boolean isReadable() {
        return mReadable;
    }

    /** Returns the sections of {@code type} in file order. */
    public List<IniSection> sections(String type) {
        return mSections.stream().filter(s -> s.schema().type().equals(type)).toList();
    }

    /** Returns the only section of {@code type}, or an empty one if the file has none. */
    public IniSection section(String type) {
        for (IniSection section : mSections) {
            if (section.schema().type().equals(type)) {
                return section;
            }
        }
        SectionSchema schema = mSchemas.get(type);
        if (schema == null) {
            throw new IllegalArgumentException("no schema for section " + type);
        }
        return new IniSection(this, type, "", schema, Map.of());
    }

    /** Records a problem; {@link #throwIfProblems} reports all of them together. */
    public void addProblem(String section, String key, String value, String expected) {
        int line = mLines.lineOf(section, key);
        mProblems.add(new ConfigProblem(mFile, line, section, key, value, expected));
    }

    /** Throws an exception with all recorded problems, if there are any. */
    public void throwIfProblems() throws ConfigException {
        if (!mProblems.isEmpty()) {
            throw new ConfigException(mFile, mProblems);
        }
    }
}
