package org.pimentovale.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * A JSON value within a larger text, which is decoded only on request. It allows reading the parts of a document by
 * themselves, so that one part that cannot be decoded does not affect the others. Immutable unless the text is changed;
 * thread safe.
 */
public final class JsonSlice {
    /** The length of a name that a reader asks for, with its quotes. */
    private static final int MAX_KNOWN_NAME_BYTES = 64;

    private final byte[] text;
    private final int start;
    private final int end;

    private JsonSlice(byte[] text, int start, int end) {
        this.text = text;
        this.start = start;
        this.end = end;
    }

    /**
     * Creates a slice of a whole text.
     *
     * @param text JSON text in UTF-8, which is not copied
     * @return the slice
     */
    public static JsonSlice of(byte[] text) {
        return new JsonSlice(text, 0, text.length);
    }

    /**
     * Creates a slice of a part of a text.
     *
     * @param text JSON text in UTF-8, which is not copied
     * @param start the position of the first byte
     * @param end the position after the last byte
     * @return the slice
     */
    public static JsonSlice of(byte[] text, int start, int end) {
        return new JsonSlice(text, start, end);
    }

    /**
     * Creates a slice of the value that starts at a position, whose names, commas and brackets are checked.
     *
     * @param text JSON text in UTF-8, which is not copied
     * @param start the position of the value's first byte, or of whitespace before it
     * @return the slice
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if no value of the grammar starts there
     */
    public static JsonSlice wellFormedAt(byte[] text, int start) {
        return new JsonSlice(text, start, JsonGrammar.endOfValue(text, start, text.length));
    }

    /**
     * Returns where the value ends.
     *
     * @return the position after its last byte
     */
    public int end() {
        return end;
    }

    /**
     * Tells whether the text is one object or array whose end is not missing, so that no part of it can be taken for
     * the whole. What it contains may still be malformed.
     *
     * @return whether its quotes and brackets are balanced, and nothing but whitespace surrounds it
     */
    public boolean isWholeContainer() {
        JsonScanner scanner = new JsonScanner(text, start, end);
        try {
            scanner.skipContainer();
            scanner.requireEnd();
            return true;
        } catch (ServingException unbalanced) {
            return false;
        }
    }

    /**
     * Decodes the value.
     *
     * @return the root node
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if the text is not valid JSON, is nested too
     *     deeply, or contains a number or name that is too long
     */
    public JsonNode parse() {
        return Json.readTree(text, start, end - start);
    }

    /**
     * Splits an object into its members without decoding their values. Of members with the same name, the last counts.
     *
     * @return the values by name, in their order
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if the value is not an object
     */
    public Map<String, JsonSlice> members() {
        Map<String, JsonSlice> members = new LinkedHashMap<>();
        collectMembers(members);
        return members;
    }

    /**
     * Returns some members of an object without decoding their values. The memory used does not depend on the other
     * members.
     *
     * @param names the names of the wanted members
     * @return their values by name, without those that are missing
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if the value is not an object, or if a wanted
     *     member occurs twice
     */
    public Map<String, JsonSlice> members(Set<String> names) {
        Map<String, JsonSlice> members = new HashMap<>();
        forEachMember((name, value) -> name.nameAmong(names).ifPresent(known -> {
            if (members.put(known, value) != null) {
                throw ServingException.notRun(ErrorCode.MALFORMED_BODY, known + " occurs twice");
            }
        }));
        return members;
    }

    /**
     * Returns the first member of an object, also if what follows it is malformed.
     *
     * @param name the name of the member
     * @return its value, empty if the first member has another name
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if the value does not begin like an object, or its
     *     first member is malformed
     */
    public Optional<JsonSlice> firstMember(String name) {
        JsonScanner scanner = new JsonScanner(text, start, end);
        scanner.require('{');
        JsonSlice first = next(scanner);
        scanner.require(':');
        JsonSlice value = wellFormedAt(text, scanner.startOfValue());
        return first.nameAmong(Set.of(name)).map(known -> value);
    }

    private void collectMembers(Map<String, JsonSlice> members) {
        forEachMember((name, value) -> members.put(name.name(), value));
    }

    private void forEachMember(BiConsumer<JsonSlice, JsonSlice> member) {
        JsonScanner scanner = new JsonScanner(text, start, end);
        scanner.require('{');
        if (!scanner.skip('}')) {
            do {
                JsonSlice name = next(scanner);
                scanner.require(':');
                member.accept(name, next(scanner));
            } while (scanner.skip(','));
            scanner.require('}');
        }
        scanner.requireEnd();
    }

    /**
     * Splits an array into its elements without decoding them.
     *
     * @return the elements
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if the value is not an array
     */
    public List<JsonSlice> elements() {
        List<JsonSlice> elements = new ArrayList<>();
        JsonScanner scanner = new JsonScanner(text, start, end);
        scanner.require('[');
        if (!scanner.skip(']')) {
            do {
                elements.add(next(scanner));
            } while (scanner.skip(','));
            scanner.require(']');
        }
        scanner.requireEnd();
        return elements;
    }

    /** Returns the name that this text is, empty if it is none of the given ones. */
    private Optional<String> nameAmong(Set<String> names) {
        return length() > MAX_KNOWN_NAME_BYTES
                ? Optional.empty()
                : Optional.of(name()).filter(names::contains);
    }

    /**
     * Returns the length of the value's text.
     *
     * @return the number of bytes
     */
    public int length() {
        return end - start;
    }

    /**
     * Tells whether the value may hold others.
     *
     * @return whether it is an object or an array
     */
    public boolean isContainer() {
        return start < end && (text[start] == '{' || text[start] == '[');
    }

    /**
     * Returns a copy of the value's text.
     *
     * @return the JSON text in UTF-8
     */
    public byte[] copyText() {
        return Arrays.copyOfRange(text, start, end);
    }

    /** Returns the name that this text is. */
    String name() {
        JsonNode name = parse();
        if (!name.isTextual()) {
            throw ServingException.notRun(ErrorCode.MALFORMED_BODY, "a member's name is not a string");
        }
        return name.textValue();
    }

    private JsonSlice next(JsonScanner scanner) {
        int from = scanner.startOfValue();
        scanner.skipValue();
        return new JsonSlice(text, from, scanner.position());
    }
}
