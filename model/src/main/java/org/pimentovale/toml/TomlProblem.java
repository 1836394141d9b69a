package org.pimentovale.toml;

/**
 * An error in a TOML file. Immutable and thread safe.
 *
 * @param file the file's name
 * @param line the one-based line number, zero if the problem concerns the whole file
 * @param key the full key, such as {@code pool[0].limit}
 * @param given the value found, or a description of it
 * @param allowed a description of the allowed values
 */
public record TomlProblem(String file, int line, String key, String given, String allowed) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": given " + given + ", allowed: " + allowed;
    }
}
