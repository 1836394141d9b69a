package org.pimentovale.json;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ServingException;

/** Guards against text with balanced brackets that is taken for a value although it holds the end of another. */
class JsonGrammarTest {
    private static int end(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return JsonGrammar.endOfValue(bytes, 0, bytes.length);
    }

    @Test
    void aValueEndsBeforeWhatFollows() {
        for (String value : List.of(
                "{}",
                "[]",
                " [ ]",
                "1e400",
                "nonsense",
                "\"a\\\"b\"",
                "\"\u00ff\"",
                "{ \"a\" : [1, {\"b\":[]}, \"]\"] , \"a\":null}",
                "[".repeat(100_000) + "]".repeat(100_000))) {
            assertWithMessage(value.substring(0, Math.min(40, value.length())))
                    .that(end(value + ",{\"next\":1}"))
                    .isEqualTo(value.length());
        }
    }

    @Test
    void whatIsNoValueIsMalformed() {
        for (String text : List.of(
                "",
                "]",
                "{",
                "[1}",
                "{\"a\":1]",
                "{\"a\":1,{\"b\":2}}",
                "{\"a\"}",
                "{\"a\":}",
                "{\"a\":1,}",
                "{1:2}",
                "[1,]",
                "[,1]",
                "[1 2]",
                "{\"a\":1 \"b\":2}",
                "\"open",
                "\"\n\"",
                "\"a\\\"")) {
            assertThrows(ServingException.class, () -> end(text), text);
        }
    }

    @Test
    void aValueMayStartWithinAText() {
        byte[] text = "[{\"a\":[1]},2]".getBytes(StandardCharsets.UTF_8);

        assertThat(JsonGrammar.endOfValue(text, 1, text.length)).isEqualTo(10);
    }
}
