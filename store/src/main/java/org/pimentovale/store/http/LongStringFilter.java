package org.pimentovale.store.http;

import io.vertx.core.buffer.Buffer;

/**
 * Shortens the long strings of a JSON text that arrives in parts, and leaves all else unchanged.
 *
 * <p>Invariants: a text that is valid JSON stays valid; the parts may begin and end anywhere; the memory used does not
 * depend on the input. Not thread safe.
 */
final class LongStringFilter {
    private static final int ESCAPE_LETTER = -1;
    private static final int UNICODE_ESCAPE_DIGITS = 4;
    private static final int CONTINUATION_MASK = 0xC0;
    private static final int CONTINUATION_BYTE = 0x80;

    private final int maxStringBytes;
    private boolean insideString;
    private boolean dropping;
    private int stringBytes;
    /** {@link #ESCAPE_LETTER} after a backslash, otherwise the number of digits that the escape sequence still has. */
    private int escape;

    /**
     * Creates a filter at the beginning of a text.
     *
     * @param maxStringBytes the length up to which a string is kept, in bytes of its JSON form
     */
    LongStringFilter(int maxStringBytes) {
        this.maxStringBytes = maxStringBytes;
    }

    /** Returns what is kept of the next part. */
    Buffer filter(Buffer part) {
        byte[] bytes = part.getBytes();
        int kept = 0;
        for (byte next : bytes) {
            if (keeps(next)) {
                bytes[kept++] = next;
            }
        }
        return Buffer.buffer(kept).appendBytes(bytes, 0, kept);
    }

    private boolean keeps(byte next) {
        if (insideString) {
            return keepsInString(next);
        }
        if (next == '"') {
            insideString = true;
            dropping = false;
            stringBytes = 0;
        }
        return true;
    }

    private boolean keepsInString(byte next) {
        boolean beginsCharacter = escape == 0 && (next & CONTINUATION_MASK) != CONTINUATION_BYTE;
        if (beginsCharacter && next == '"') {
            insideString = false;
            return true;
        }
        updateEscape(next);
        dropping |= beginsCharacter && stringBytes >= maxStringBytes;
        stringBytes++;
        return !dropping;
    }

    private void updateEscape(byte next) {
        if (escape == ESCAPE_LETTER) {
            escape = next == 'u' ? UNICODE_ESCAPE_DIGITS : 0;
        } else if (escape > 0) {
            escape--;
        } else if (next == '\\') {
            escape = ESCAPE_LETTER;
        }
    }
}
