package org.pimentovale.table;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.toml.TomlProblem;

class TablesReaderTest {
    private static final String POOL =
            """
            [[pool]]
            name = "booking"
            limit = 4
            [[pool.endpoint]]
            address = "127.0.0.1:9000"
            zone = "zone-a"
            """;

    private static List<String> problems(String text) {
        return new TablesReader("tables.toml")
                .read(text).problems().stream().map(TomlProblem::toString).toList();
    }

    @Nested
    class WithGoodTables {
        @Test
        void readsWhatTheWriterWrites() {
            TablesFile file = new TablesReader("tables.toml")
                    .read(
                            POOL
                                    + """
                    [[route]]
                    kind = "reservation"
                    deadline_ms = 5000
                    urgency = "urgent"
                    stage = [{ name = "reserve", pool = "booking", idempotent = false }]
                    """);
            assertThat(file.problems()).isEmpty();
            String written = new TablesWriter().write(3, file.tables());
            TablesFile again = new TablesReader("written.toml").read(written);
            assertThat(again.problems()).isEmpty();
            assertThat(again.tables()).isEqualTo(file.tables());
            assertThat(again.baseRevision()).hasValue(3L);
        }
    }

    @Nested
    class WithBadTables {
        @Test
        void reportsEveryErrorWithLineKeyGivenAndAllowed() {
            List<String> found = problems(
                    POOL.replace("limit = 4", "limt = 4\nlimit = 0")
                            + """
                    [[route]]
                    kind = "reservation"
                    deadline_ms = 5000
                    urgency = "soon"
                    stage = [{ name = "reserve", pool = "bookings" }]
                    """);
            assertThat(found)
                    .containsExactly(
                            "tables.toml:4: pool[0].limit: given 0, allowed: an integer from 1 to 100000",
                            "tables.toml:3: pool[0].limt: given an unknown key, allowed: did you mean limit?",
                            "tables.toml:11: route[0].urgency: given soon, allowed: urgent, interactive or patient",
                            "tables.toml:12: route[0].stage[0].pool: given bookings, allowed: a pool of this file:"
                                    + " [booking]");
        }

        @Test
        void reportsBrokenToml() {
            assertThat(problems("[[pool]\nname = ")).isNotEmpty();
        }

        @Test
        void refusesTwoStagesThatMustNotRunTwice() {
            assertThat(
                            problems(
                                    POOL
                                            + """
                    [[route]]
                    kind = "double"
                    deadline_ms = 5000
                    stage = [{ name = "one", pool = "booking", idempotent = false }, { name = "two", pool = "booking", idempotent = false }]
                    """))
                    .hasSize(1);
        }
    }
}
