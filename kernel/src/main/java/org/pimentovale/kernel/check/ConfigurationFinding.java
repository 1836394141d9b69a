package org.pimentovale.kernel.check;

/**
 * Something that an operator should know about a configuration before it is applied.
 *
 * @param kind what the finding means
 * @param place the entry that it is about, such as {@code route booking} or {@code service desk}
 * @param message what was found; it contains no API key
 */
public record ConfigurationFinding(FindingKind kind, String place, String message) {
    /**
     * Returns the finding as one line.
     *
     * @return kind, place and message
     */
    public String line() {
        return kind.label() + " " + place + ": " + message;
    }
}
