package org.pimentovale.toml;

/**
 * One error of a TOML file. Immutable and thread safe.
 *
 * @param file the file's name
 * @param line the line, from one; zero where the whole file is meant
 * @param key the dotted key
 * @param given what stands there
 * @param allowed what may stand there
 */
public record TomlProblem(String file, int line, String key, String given, String allowed) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": given " + given + ", allowed: " + allowed;
    }
}
