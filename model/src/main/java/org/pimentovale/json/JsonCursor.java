package org.pimentovale.json;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Reads a JSON text step by step from the front, so that what precedes a malformed part can be used. Every method
 * ignores whitespace before what it reads. Not thread safe.
 */
public final class JsonCursor {
    private final byte[] text;
    private int position;

    /**
     * Creates a cursor at the beginning of a text.
     *
     * @param text JSON text in UTF-8, which is not copied
     */
    public JsonCursor(byte[] text) {
        this(text, 0);
    }

    /**
     * Creates a cursor within a text.
     *
     * @param text JSON text in UTF-8, which is not copied
     * @param position the position of the first byte to read
     */
    public JsonCursor(byte[] text, int position) {
        this.text = text;
        this.position = position;
    }

    /**
     * Returns the position of the next byte that is no whitespace.
     *
     * @return the position, the length of the text at its end
     */
    public int position() {
        JsonScanner scanner = scanner();
        return scanner.startOfValue();
    }

    /**
     * Consumes a structural character.
     *
     * @param expected the character
     * @return whether it follows; if not, nothing is consumed
     */
    public boolean skip(char expected) {
        JsonScanner scanner = scanner();
        boolean follows = scanner.skip(expected);
        position = scanner.position();
        return follows;
    }

    /**
     * Consumes a structural character.
     *
     * @param expected the character
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if another one follows
     */
    public void require(char expected) {
        JsonScanner scanner = scanner();
        scanner.require(expected);
        position = scanner.position();
    }

    /**
     * Tells whether one of two structural characters follows.
     *
     * @param one a character
     * @param other another character
     * @return whether one of them is the next
     */
    public boolean isAtEither(char one, char other) {
        int next = position();
        return next < text.length && (text[next] == one || text[next] == other);
    }

    /**
     * Consumes the name of a member and the colon after it.
     *
     * @return the name
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if no name follows
     */
    public String name() {
        String name = value().name();
        require(':');
        return name;
    }

    /**
     * Consumes a value of the grammar of JSON.
     *
     * @return the value, which is not decoded
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if none follows; nothing is consumed then
     */
    public JsonSlice value() {
        JsonSlice value = JsonSlice.wellFormedAt(text, position());
        position = value.end();
        return value;
    }

    /**
     * Requires that nothing but whitespace follows.
     *
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if something else does
     */
    public void requireEnd() {
        scanner().requireEnd();
    }

    private JsonScanner scanner() {
        return new JsonScanner(text, position, text.length);
    }
}
