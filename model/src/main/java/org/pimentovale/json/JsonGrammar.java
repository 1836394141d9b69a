package org.pimentovale.json;

import java.util.BitSet;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Finds where a JSON value ends, and checks on the way that it has the grammar of JSON (RFC 8259): names, colons and
 * commas are where they belong, and every bracket is closed by its counterpart.
 *
 * <p>Unlike {@link JsonScanner}, it does not take text that merely has as many closing as opening brackets for a value.
 * Scalars may be any unquoted word, and strings may hold any bytes but control characters. The memory used is one bit
 * for each level of nesting. Not thread safe.
 */
final class JsonGrammar {
    private static final int FIRST_PRINTABLE = 0x20;

    private final byte[] text;
    private final int end;
    /** For each open level, whether it is an object. */
    private final BitSet objects = new BitSet();

    private int depth;
    private int position;

    private JsonGrammar(byte[] text, int start, int end) {
        this.text = text;
        this.position = start;
        this.end = end;
    }

    /**
     * Returns the position after the value that starts at a position.
     *
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if no value of the grammar starts there
     */
    static int endOfValue(byte[] text, int start, int end) {
        JsonGrammar grammar = new JsonGrammar(text, start, end);
        grammar.skipValue();
        return grammar.position;
    }

    private void skipValue() {
        boolean valueFollows;
        do {
            valueFollows = skipUpToNextValue();
        } while (valueFollows);
    }

    /** Skips a scalar, a string or the beginning of a container; returns whether another value of this one follows. */
    private boolean skipUpToNextValue() {
        byte first = next();
        if (first == '{' || first == '[') {
            return open(first == '{');
        }
        if (first == '"') {
            skipString();
        } else {
            skipWord();
        }
        return goesOn();
    }

    private boolean open(boolean object) {
        position++;
        objects.set(depth, object);
        depth++;
        if (next() == closing()) {
            close();
            return goesOn();
        }
        beginMember();
        return true;
    }

    /** Closes the containers that end here; returns whether another value follows in the one that goes on. */
    private boolean goesOn() {
        while (depth > 0) {
            byte following = next();
            if (following == ',') {
                position++;
                beginMember();
                return true;
            }
            if (following != closing()) {
                throw malformed("comma or closing bracket expected");
            }
            close();
        }
        return false;
    }

    private void beginMember() {
        if (!objects.get(depth - 1)) {
            return;
        }
        if (next() != '"') {
            throw malformed("name expected");
        }
        skipString();
        if (next() != ':') {
            throw malformed("colon expected");
        }
        position++;
    }

    private byte closing() {
        return (byte) (objects.get(depth - 1) ? '}' : ']');
    }

    private void close() {
        position++;
        depth--;
    }

    private void skipString() {
        position++;
        while (position < end && text[position] != '"') {
            if (text[position] >= 0 && text[position] < FIRST_PRINTABLE) {
                throw malformed("control character in a string");
            }
            position += text[position] == '\\' ? 2 : 1;
        }
        if (position >= end) {
            throw malformed("missing closing quote");
        }
        position++;
    }

    private void skipWord() {
        int start = position;
        while (position < end && isWordCharacter(text[position])) {
            position++;
        }
        if (position == start) {
            throw malformed("value expected");
        }
    }

    private static boolean isWordCharacter(byte character) {
        return (character >= '0' && character <= '9')
                || (character >= 'A' && character <= 'Z')
                || (character >= 'a' && character <= 'z')
                || character == '-'
                || character == '+'
                || character == '.';
    }

    /** Returns the next character that is no whitespace, without consuming it. */
    private byte next() {
        while (position < end && isWhitespace(text[position])) {
            position++;
        }
        if (position >= end) {
            throw malformed("value does not end");
        }
        return text[position];
    }

    private static boolean isWhitespace(byte character) {
        return character == ' ' || character == '\t' || character == '\n' || character == '\r';
    }

    private ServingException malformed(String detail) {
        return ServingException.notRun(ErrorCode.MALFORMED_BODY, detail + " at byte " + position);
    }
}
