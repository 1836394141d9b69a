package org.pimentovale.toml;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads one table of a TOML file and collects the problems found.
 *
 * <p>Invariant: a key becomes known when a getter reads it; {@link #close()} reports all other keys of the table as
 * unknown, with the most similar known key. A getter that reports a problem returns a default value, so that all
 * problems of a file are found in one pass. Not thread safe.
 */
public final class TomlSection implements AutoCloseable {
    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final String file;
    private final String prefix;
    private final TomlTable table;
    private final int line;
    private final List<TomlProblem> problems;
    private final Set<String> knownKeys = new HashSet<>();

    private TomlSection(String file, String prefix, TomlTable table, int line, List<TomlProblem> problems) {
        this.file = file;
        this.prefix = prefix;
        this.table = table;
        this.line = line;
        this.problems = problems;
    }

    /**
     * Parses the text of a file.
     *
     * @param file the file's name, used in messages
     * @param text the TOML text
     * @param problems the list to which problems are added
     * @return the root table; syntax errors are added to the problems
     */
    public static TomlSection parse(String file, String text, List<TomlProblem> problems) {
        TomlParseResult result = Toml.parse(text);
        result.errors()
                .forEach(error -> problems.add(new TomlProblem(
                        file, error.position().line(), "(syntax)", firstLine(error.getMessage()), "valid TOML 1.0")));
        return new TomlSection(file, "", result, 0, problems);
    }

    private static String firstLine(String text) {
        return text == null ? "" : text.lines().findFirst().orElse("");
    }

    /**
     * Returns the keys present in this table.
     *
     * @return the keys
     */
    public Set<String> keys() {
        return table.keySet();
    }

    /**
     * Returns a subtable.
     *
     * @param key the subtable's key
     * @return the subtable, empty if absent
     */
    public TomlSection section(String key) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        TomlTable found = Toml.parse("");
        if (value instanceof TomlTable given) {
            found = given;
        } else if (value != null) {
            report(key, value, "a table");
        }
        return new TomlSection(file, prefix + key + ".", found, lineOf(key), problems);
    }

    /**
     * Returns the elements of an array of tables.
     *
     * @param key the array's key
     * @return the tables in order, none if the key is absent
     */
    public List<TomlSection> sections(String key) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        List<TomlSection> sections = new ArrayList<>();
        if (value == null) {
            return sections;
        }
        if (!(value instanceof TomlArray array)) {
            report(key, value, "an array of tables");
            return sections;
        }
        for (int position = 0; position < array.size(); position++) {
            TomlPosition entryPosition = array.inputPositionOf(position);
            int entryLine = entryPosition == null ? lineOf(key) : entryPosition.line();
            if (array.get(position) instanceof TomlTable entry) {
                sections.add(new TomlSection(file, prefix + key + "[" + position + "].", entry, entryLine, problems));
            } else {
                report(key, array.get(position), "a table");
            }
        }
        return sections;
    }

    /**
     * Returns a required string.
     *
     * @param key the string's key
     * @return the string, empty if it is absent or invalid
     */
    public String text(String key) {
        Optional<String> found = optionalText(key);
        if (found.isEmpty() && !table.contains(List.of(key))) {
            report(key, "nothing", "a string");
        }
        return found.orElse("");
    }

    /**
     * Returns an optional string.
     *
     * @param key the string's key
     * @return the string, empty if it is absent or invalid
     */
    public Optional<String> optionalText(String key) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof String text && !text.isBlank()) {
            return Optional.of(text);
        }
        report(key, value, "a non-empty string");
        return Optional.empty();
    }

    /**
     * Returns an array of strings.
     *
     * @param key the array's key
     * @return the valid strings, none if the key is absent
     */
    public List<String> texts(String key) {
        knownKeys.add(key);
        List<String> texts = new ArrayList<>();
        for (Object value : values(key)) {
            if (value instanceof String text) {
                texts.add(text);
            } else {
                report(key, value, "strings");
            }
        }
        return texts;
    }

    /**
     * Returns an array of integers.
     *
     * @param key the array's key
     * @return the integers, none if the key is absent
     */
    public List<Integer> numbers(String key) {
        knownKeys.add(key);
        List<Integer> numbers = new ArrayList<>();
        for (Object value : values(key)) {
            if (value instanceof Long number) {
                numbers.add(number.intValue());
            } else {
                report(key, value, "integers");
            }
        }
        return numbers;
    }

    private List<Object> values(String key) {
        Object value = table.get(List.of(key));
        if (value == null) {
            return List.of();
        }
        if (value instanceof TomlArray array) {
            return array.toList();
        }
        report(key, value, "an array");
        return List.of();
    }

    /**
     * Returns an integer within bounds. The key is required if the default value is less than the minimum.
     *
     * @param key the integer's key
     * @param defaultValue the value if the key is absent
     * @param minimum the minimum, inclusive
     * @param maximum the maximum, inclusive
     * @return the integer; the default value, or the minimum if that is greater, after an invalid value
     */
    public int number(String key, int defaultValue, int minimum, int maximum) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            if (defaultValue < minimum) {
                report(key, "nothing", "an integer from " + minimum + " to " + maximum);
            }
            return defaultValue;
        }
        if (value instanceof Long number && number >= minimum && number <= maximum) {
            return number.intValue();
        }
        report(key, value, "an integer from " + minimum + " to " + maximum);
        return Math.max(defaultValue, minimum);
    }

    /**
     * Returns a number within bounds, an integer or a float.
     *
     * @param key the number's key
     * @param defaultValue the value if the key is absent or the number invalid
     * @param minimum the minimum, inclusive
     * @param maximum the maximum, inclusive
     * @return the number
     */
    public double decimal(String key, double defaultValue, double minimum, double maximum) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() >= minimum && number.doubleValue() <= maximum) {
            return number.doubleValue();
        }
        report(key, value, "a number from " + minimum + " to " + maximum);
        return defaultValue;
    }

    /**
     * Returns a boolean.
     *
     * @param key the boolean's key
     * @param defaultValue the value if the key is absent or invalid
     * @return the value
     */
    public boolean flag(String key, boolean defaultValue) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        report(key, value, "true or false");
        return defaultValue;
    }

    /**
     * Reports a problem with a value of this table.
     *
     * @param key the value's key, without the path of this table
     * @param given the value found, or a description of it
     * @param allowed a description of the allowed values
     */
    public void report(String key, Object given, String allowed) {
        problems.add(new TomlProblem(file, lineOf(key), prefix + key, String.valueOf(given), allowed));
    }

    private int lineOf(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** Reports the keys of this table that no getter has read. */
    @Override
    public void close() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                report(
                        key,
                        "an unknown key",
                        closestKnownKey(key)
                                .map(name -> "did you mean " + name + "?")
                                .orElse("one of " + knownKeys.stream().sorted().toList()));
            }
        }
    }

    private Optional<String> closestKnownKey(String key) {
        return knownKeys.stream()
                .filter(name -> levenshteinDistance(key, name) <= MAX_SUGGESTION_DISTANCE)
                .min(Comparator.comparingInt(name -> levenshteinDistance(key, name)));
    }

    /** Returns the Levenshtein distance of two strings. */
    private static int levenshteinDistance(String left, String right) {
        int[] previous = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            int[] current = new int[right.length() + 1];
            current[0] = row;
            for (int column = 1; column <= right.length(); column++) {
                int replaced = previous[column - 1] + (left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1);
                current[column] = Math.min(replaced, 1 + Math.min(previous[column], current[column - 1]));
            }
            previous = current;
        }
        return previous[right.length()];
    }
}
