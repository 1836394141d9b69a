package org.pimentovale.json;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Finds where JSON values begin and end without decoding them: numbers, names and strings of any length, any nesting
 * depth and bytes that are not UTF-8 are skipped in constant memory. It relies on quotes and brackets being balanced
 * and checks nothing else. Not thread safe.
 */
final class JsonScanner {
    private final byte[] text;
    private final int end;
    private int position;

    JsonScanner(byte[] text, int start, int end) {
        this.text = text;
        this.position = start;
        this.end = end;
    }

    int position() {
        return position;
    }

    /** Consumes a structural character after optional whitespace; returns false if another character follows. */
    boolean skip(char expected) {
        skipWhitespace();
        if (position < end && text[position] == expected) {
            position++;
            return true;
        }
        return false;
    }

    void require(char expected) {
        if (!skip(expected)) {
            throw malformed("'" + expected + "' expected");
        }
    }

    /** Requires that nothing but whitespace follows. */
    void requireEnd() {
        skipWhitespace();
        if (position < end) {
            throw malformed("end expected");
        }
    }

    /** Moves to the start of the next value and returns its position. */
    int startOfValue() {
        skipWhitespace();
        return position;
    }

    /** Moves behind the value that starts at the current position. */
    void skipValue() {
        int start = position;
        if (position < end && text[position] == '"') {
            skipString();
        } else if (position < end && isOpening(text[position])) {
            skipNested();
        } else {
            skipScalar();
        }
        if (position == start) {
            throw malformed("value expected");
        }
    }

    /** Moves behind the object or array that follows after optional whitespace. */
    void skipContainer() {
        skipWhitespace();
        if (position >= end || !isOpening(text[position])) {
            throw malformed("object or array expected");
        }
        skipNested();
    }

    private void skipNested() {
        long depth = 0;
        do {
            if (position >= end) {
                throw malformed("missing closing bracket");
            }
            byte current = text[position];
            if (current == '"') {
                skipString();
                continue;
            }
            depth += isOpening(current) ? 1 : isClosing(current) ? -1 : 0;
            position++;
        } while (depth > 0);
    }

    private void skipString() {
        position++;
        while (position < end && text[position] != '"') {
            position += text[position] == '\\' ? 2 : 1;
        }
        if (position >= end) {
            throw malformed("missing closing quote");
        }
        position++;
    }

    private void skipScalar() {
        while (position < end && text[position] != ',' && !isClosing(text[position])) {
            position++;
        }
    }

    private void skipWhitespace() {
        while (position < end && Character.isWhitespace(text[position])) {
            position++;
        }
    }

    private static boolean isOpening(byte character) {
        return character == '{' || character == '[';
    }

    private static boolean isClosing(byte character) {
        return character == '}' || character == ']';
    }

    private ServingException malformed(String detail) {
        return ServingException.notRun(ErrorCode.MALFORMED_BODY, detail + " at byte " + position);
    }
}
