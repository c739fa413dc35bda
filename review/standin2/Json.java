import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON; objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void skip() {
        while (mAt < mText.length() && Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
    }

    private Object value() {
        skip();
        char c = mText.charAt(mAt);
        if (c == '{') {
            return objectValue();
        }
        if (c == '[') {
            return arrayValue();
        }
        if (c == '"') {
            return stringValue();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                return word.matches("-?\\d+")
                        ? (Object) Long.parseLong(word)
                        : (Object) Double.parseDouble(word);
        }
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        mAt++;
        skip();
        while (mText.charAt(mAt) != '}') {
            skip();
            String key = stringValue();
            skip();
            mAt++;
            map.put(key, value());
            skip();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                skip();
            }
        }
        mAt++;
        return map;
    }

    private List<Object> arrayValue() {
        List<Object> list = new ArrayList<>();
        mAt++;
        skip();
        while (mText.charAt(mAt) != ']') {
            list.add(value());
            skip();
            if (mText.charAt(mAt) == ',') {
                mAt++;
                skip();
            }
        }
        mAt++;
        return list;
    }

    private String stringValue() {
        int end = mAt + 1;
        while (mText.charAt(end) != '"' && mText.charAt(end) != '\\') {
            end++;
        }
        if (mText.charAt(end) == '"') {
            String plain = mText.substring(mAt + 1, end);
            mAt = end + 1;
            return plain;
        }
        StringBuilder text = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            c = mText.charAt(++mAt);
            switch (c) {
                case 'n' -> text.append('\n');
                case 't' -> text.append('\t');
                case 'r' -> text.append('\r');
                case 'b' -> text.append('\b');
                case 'f' -> text.append('\f');
                case 'u' -> {
                    text.append((char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16));
                    mAt += 4;
                }
                default -> text.append(c);
            }
        }
        mAt++;
        return text.toString();
    }

    static String write(Object value) {
        StringBuilder text = new StringBuilder();
        write(value, text);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text) {
        if (value instanceof Map<?, ?> map) {
            text.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                text.append(first ? "" : ",");
                first = false;
                write(String.valueOf(entry.getKey()), text);
                text.append(':');
                write(entry.getValue(), text);
            }
            text.append('}');
        } else if (value instanceof List<?> list) {
            text.append('[');
            for (int i = 0; i < list.size(); i++) {
                text.append(i == 0 ? "" : ",");
                write(list.get(i), text);
            }
            text.append(']');
        } else if (value instanceof String string) {
            writeString(string, text);
        } else {
            text.append(value);
        }
    }

    private static void writeString(String string, StringBuilder text) {
        text.append('"');
        for (int i = 0; i < string.length(); i++) {
            char c = string.charAt(i);
            if (c == '"' || c == '\\') {
                text.append('\\').append(c);
            } else if (c < ' ') {
                text.append(String.format("\\u%04x", (int) c));
            } else {
                text.append(c);
            }
        }
        text.append('"');
    }
}
