package org.sesamepin.core.config;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Describes one property: name, unit, default, validation and documentation. The reader takes the
 * text of a problem from the descriptor, and the reference page is generated from the descriptors.
 *
 * @param <T> type of the parsed value
 */
public final class PropertyDescriptor<T> {
    /** A number from 0 to 255; anything larger would be looked up as the name of a host. */
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d{1,2})";

    private static final Pattern IP_AND_PORT =
            Pattern.compile(
                    "(" + OCTET + "(?:\\." + OCTET + "){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_TEXT_CHARS = 1_024;

    private final String mName;
    private final String mAllowedValues;
    private final boolean mRequired;
    private final T mDefault;
    private final String mDescription;
    private final Function<String, T> mParser;
    private final Predicate<T> mCheck;

    private PropertyDescriptor(
            String name,
            String allowedValues,
            boolean required,
            T defaultValue,
            String description,
            Function<String, T> parser,
            Predicate<T> check) {
        mName = name;
        mAllowedValues = allowedValues;
        mRequired = required;
        mDefault = defaultValue;
        mDescription = description;
        mParser = parser;
        mCheck = check;
    }

    /** Describes an integer between {@code min} and {@code max}, both inclusive. */
    public static PropertyDescriptor<Long> integer(
            String name, String unit, long defaultValue, long min, long max, String description) {
        return new PropertyDescriptor<>(
                name,
                "a whole number of " + unit + " from " + min + " to " + max,
                false,
                defaultValue,
                description,
                Long::parseLong,
                v -> v >= min && v <= max);
    }

    /** Describes a decimal number between {@code min} and {@code max}, both inclusive. */
    public static PropertyDescriptor<Double> decimal(
            String name,
            String unit,
            double defaultValue,
            double min,
            double max,
            String description) {
        return new PropertyDescriptor<>(
                name,
                "a number of " + unit + " from " + min + " to " + max,
                false,
                defaultValue,
                description,
                Double::parseDouble,
                v -> v >= min && v <= max);
    }

    /** Describes a boolean property, written {@code true} or {@code false}. */
    public static PropertyDescriptor<Boolean> flag(
            String name, boolean defaultValue, String description) {
        return new PropertyDescriptor<>(
                name,
                "true or false",
                false,
                defaultValue,
                description,
                text -> {
                    if (!text.equals("true") && !text.equals("false")) {
                        throw new IllegalArgumentException(text);
                    }
                    return Boolean.valueOf(text);
                },
                v -> true);
    }

    /** Describes a text that matches {@code pattern}; {@code allowedValues} describes it. */
    public static PropertyDescriptor<String> text(
            String name,
            String allowedValues,
            String pattern,
            String defaultValue,
            String description) {
        Pattern compiled = Pattern.compile(pattern);
        return new PropertyDescriptor<>(
                name,
                allowedValues,
                false,
                defaultValue,
                description,
                Function.identity(),
                v -> v.length() <= MAX_TEXT_CHARS && compiled.matcher(v).matches());
    }

    /** Describes a list of words separated by commas or whitespace. */
    public static PropertyDescriptor<List<String>> words(
            String name, String allowedValues, List<String> defaultValue, String description) {
        return new PropertyDescriptor<>(
                name,
                allowedValues,
                false,
                defaultValue,
                description,
                text -> List.of(text.trim().split("[,\\s]+")),
                v -> v.stream().noneMatch(String::isEmpty));
    }

    /**
     * Describes an IP address with port, such as {@code 10.0.0.4:8080}; host names are rejected.
     */
    public static PropertyDescriptor<InetSocketAddress> address(
            String name, String defaultValue, String description) {
        return new PropertyDescriptor<>(
                name,
                "an IP address and port, such as 10.0.0.4:8080",
                false,
                parseAddress(defaultValue),
                description,
                PropertyDescriptor::parseAddress,
                v -> true);
    }

    /** Describes a choice among the constants of an enum, written in lower case with hyphens. */
    public static <E extends Enum<E>> PropertyDescriptor<E> choice(
            String name, Class<E> type, E defaultValue, String description) {
        String allowedValues =
                Arrays.stream(type.getEnumConstants())
                        .map(PropertyDescriptor::choiceLabel)
                        .collect(Collectors.joining(", "));
        return new PropertyDescriptor<>(
                name,
                "one of " + allowedValues,
                false,
                defaultValue,
                description,
                text -> parseChoice(type, text),
                v -> true);
    }

    /** Returns a copy of this descriptor for a required property. */
    public PropertyDescriptor<T> required() {
        return new PropertyDescriptor<>(
                mName, mAllowedValues, true, mDefault, mDescription, mParser, mCheck);
    }

    /** Parses an IP address with port; throws IllegalArgumentException for anything else. */
    public static InetSocketAddress parseAddress(String text) {
        var matcher = IP_AND_PORT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not an IP address and port: " + text);
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
        return new InetSocketAddress(matcher.group(1), port);
    }

    public String name() {
        return mName;
    }

    public String allowed() {
        return mAllowedValues;
    }

    public boolean isRequired() {
        return mRequired;
    }

    public T defaultValue() {
        return mDefault;
    }

    public String description() {
        return mDescription;
    }

    /** Parses and validates {@code text}; throws IllegalArgumentException if it is invalid. */
    T parse(String text) {
        T value = mParser.apply(text);
        if (!mCheck.test(value)) {
            throw new IllegalArgumentException(text);
        }
        return value;
    }

    private static String choiceLabel(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <E extends Enum<E>> E parseChoice(Class<E> type, String text) {
        for (E constant : type.getEnumConstants()) {
            if (choiceLabel(constant).equals(text)) {
                return constant;
            }
        }
        throw new IllegalArgumentException(text);
    }
}
