package org.pimentovale.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Reads and writes records as JSON with member names in snake case. Unknown members are ignored; null values
 * of record components are rejected. Thread safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true)
            .configure(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES, true)
            .build();

    private Json() {}

    /**
     * Serializes a record.
     *
     * @param value the record
     * @return its JSON text in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw ServingException.notRun(ErrorCode.INTERNAL, failure.getOriginalMessage());
        }
    }

    /**
     * Serializes a record as indented JSON over several lines.
     *
     * @param value the record
     * @return the JSON text
     */
    public static String writeIndented(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException failure) {
            throw ServingException.notRun(ErrorCode.INTERNAL, failure.getOriginalMessage());
        }
    }

    /**
     * Deserializes a record.
     *
     * @param bytes JSON text in UTF-8
     * @param type the record's class
     * @return the record
     * @throws ServingException with {@link ErrorCode#OBJECT_DAMAGED} if the text is not valid JSON for the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "null value for " + type.getSimpleName());
            }
            return value;
        } catch (IOException failure) {
            throw ServingException.notRun(
                    ErrorCode.OBJECT_DAMAGED, type.getSimpleName() + " cannot be deserialized: " + firstLine(failure));
        }
    }

    /**
     * Parses JSON text without binding it to a type.
     *
     * @param bytes JSON text in UTF-8
     * @return the root node
     * @throws ServingException with {@link ErrorCode#MALFORMED_BODY} if the text is not valid JSON
     */
    public static JsonNode readTree(byte[] bytes) {
        return readTree(bytes, 0, bytes.length);
    }

    /** Parses a part of a text, as {@link #readTree(byte[])} does. */
    static JsonNode readTree(byte[] bytes, int offset, int length) {
        try {
            return MAPPER.readTree(bytes, offset, length);
        } catch (IOException failure) {
            throw ServingException.notRun(ErrorCode.MALFORMED_BODY, firstLine(failure));
        }
    }

    private static String firstLine(IOException failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("");
    }
}
