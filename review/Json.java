import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the bodies of the store stand-in. Numbers are read as Long or Double. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readObject(String text) {
        return (Map<String, Object>) read(text);
    }

    /** Quotes [value] as a JSON string. */
    static String quote(String value) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(position);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        if (text.startsWith("true", position)) return word("true", true);
        if (text.startsWith("false", position)) return word("false", false);
        if (text.startsWith("null", position)) return word("null", null);
        return number();
    }

    private Object word(String word, Object value) {
        position += word.length();
        return value;
    }

    private Map<String, Object> object() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            skipSpace();
            String key = string();
            skipSpace();
            position++; // colon
            result.put(key, value());
            skipSpace();
            if (text.charAt(position) == ',') position++;
            skipSpace();
        }
        position++;
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            result.add(value());
            skipSpace();
            if (text.charAt(position) == ',') position++;
            skipSpace();
        }
        position++;
        return result;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c == '\\') {
                char escaped = text.charAt(position++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                        position += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        position++;
        return out.toString();
    }

    private Object number() {
        int start = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) position++;
        String digits = text.substring(start, position);
        if (digits.matches("-?\\d+")) return Long.parseLong(digits);
        return Double.parseDouble(digits);
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }
}
