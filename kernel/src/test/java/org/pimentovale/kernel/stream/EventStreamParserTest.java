package org.pimentovale.kernel.stream;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Verifies where events end. */
class EventStreamParserTest {
    private static EventStreamParser parse(String... parts) {
        EventStreamParser parser = new EventStreamParser();
        for (String part : parts) {
            parser.accept(part.getBytes(StandardCharsets.UTF_8));
        }
        return parser;
    }

    @Nested
    class AnEvent {
        @Test
        void endsWithAnEmptyLineForEachKindOfLineEnd() {
            for (String lineEnd : new String[] {"\n", "\r", "\r\n"}) {
                EventStreamParser parser = parse("id: 1" + lineEnd + "data: a" + lineEnd + lineEnd);

                assertThat(parser.insideEvent()).isFalse();
                assertThat(parser.completeEvents()).isEqualTo(1);
            }
        }

        @Test
        void mayArriveInParts() {
            assertThat(parse("id: 1\r", "\nda", "ta: a\r", "\n\r", "\n").completeEvents())
                    .isEqualTo(1);
        }

        @Test
        void isOpenBeforeItsEmptyLine() {
            assertThat(parse("id: 1\ndata: a\n\nid: 2\ndata").insideEvent()).isTrue();
            assertThat(parse("id: 1\ndata: a\n").insideEvent()).isTrue();
        }
    }

    @Nested
    class ABlockOfLines {
        @Test
        void isOpenInsideALine() {
            assertThat(parse("id: 1\ndata: a\n\n: keep").insideBlock()).isTrue();
            assertThat(parse("id: 1\ndata").insideBlock()).isTrue();
        }

        @Test
        void isOpenWithinAnEndOfTwoBytes() {
            assertThat(parse("id: 1\r\ndata: a\r\n\r").insideBlock()).isTrue();
            assertThat(parse("id: 1\r\ndata: a\r\n\r\n").insideBlock()).isFalse();
        }

        @Test
        void isOpenBeforeItsEmptyLine() {
            assertThat(parse("id: 1\ndata: a\n\n: keep-alive\n").insideBlock()).isTrue();
            assertThat(parse("id: 1\ndata: a\n\n: keep-alive\n\n").insideBlock())
                    .isFalse();
        }

        @Test
        void endsWithOneByteWhereAllLinesDo() {
            assertThat(parse("id: 1\rdata: a\r\r").insideBlock()).isFalse();
            assertThat(parse("id: 1\ndata: a\n\n").insideBlock()).isFalse();
        }
    }

    @Nested
    class Comments {
        @Test
        void belongToNoEvent() {
            EventStreamParser parser = parse(": keep-alive\n\n: keep");

            assertThat(parser.insideEvent()).isFalse();
            assertThat(parser.completeEvents()).isEqualTo(0);
        }

        @Test
        void doNotEndAnEvent() {
            assertThat(parse("id: 1\n: comment\n").insideEvent()).isTrue();
        }
    }

    @Nested
    class AStreamWithoutEventEnds {
        @Test
        void isMeasuredSinceTheLastEvent() {
            assertThat(parse("id: 1\n\n", "x".repeat(500)).openEventBytes()).isEqualTo(500);
        }
    }
}
