package org.pimentovale.gateway.port;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.pimentovale.json.Json;

/**
 * The content of a stored object as JSON text. It is parsed on request, as the parsed form takes many times the memory
 * of the text. Immutable and thread safe.
 */
@JsonDeserialize(using = StoredContent.Deserializer.class)
public final class StoredContent {
    /** No content is stated. */
    public static final StoredContent MISSING = new StoredContent(new byte[0]);

    /** The content was rejected, or was not kept. */
    public static final StoredContent REJECTED = new StoredContent("null".getBytes(StandardCharsets.UTF_8));

    /** An object without members. */
    public static final StoredContent EMPTY = new StoredContent("{}".getBytes(StandardCharsets.UTF_8));

    private final byte[] text;

    private StoredContent(byte[] text) {
        this.text = text;
    }

    /**
     * Creates content from its text.
     *
     * @param text valid JSON in UTF-8, which is not copied
     * @return the content
     */
    public static StoredContent ofText(byte[] text) {
        return new StoredContent(text);
    }

    /**
     * Creates content from its parsed form.
     *
     * @param value the parsed content
     * @return the content
     */
    public static StoredContent of(JsonNode value) {
        return value.isNull() ? REJECTED : new StoredContent(Json.write(value));
    }

    /**
     * Tells whether the content was rejected when the store's answer was read, or was not kept.
     *
     * @return whether nothing can be decoded
     */
    public boolean isRejected() {
        return this == REJECTED;
    }

    /**
     * Parses the content.
     *
     * @return the root node; a missing node if no content is stated, a null node if it was rejected
     */
    public JsonNode parse() {
        if (this == REJECTED) {
            return NullNode.getInstance();
        }
        return text.length == 0 ? MissingNode.getInstance() : Json.readTree(text);
    }

    /** Returns the form in messages between gateways, in which an object without content has no members. */
    @JsonValue
    JsonNode toJson() {
        return this == MISSING ? EMPTY.parse() : parse();
    }

    /** Reads content from a message. */
    static final class Deserializer extends StdDeserializer<StoredContent> {
        private static final long serialVersionUID = 1;

        Deserializer() {
            super(StoredContent.class);
        }

        @Override
        public StoredContent deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return of(parser.readValueAsTree());
        }

        @Override
        public StoredContent getNullValue(DeserializationContext context) {
            return REJECTED;
        }
    }

    /**
     * Returns the memory that the text takes.
     *
     * @return the length in bytes
     */
    public int bytes() {
        return text.length;
    }
}
