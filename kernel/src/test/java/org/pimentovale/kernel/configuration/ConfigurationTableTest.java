package org.pimentovale.kernel.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Tables;

class ConfigurationTableTest {
    @Property(tries = 500, seed = "42")
    void activeRevisionNeverDecreases(@ForAll List<@LongRange(min = 1, max = 50) Long> revisions) {
        ConfigurationTable table = new ConfigurationTable();
        List<Long> seen = new ArrayList<>();
        table.addListener(active -> seen.add(active.revision()));
        for (long revision : revisions) {
            table.offer(new Configuration(Configuration.SCHEMA, revision, List.of(), Tables.EMPTY, List.of()));
        }
        assertThat(seen).isInStrictOrder();
        assertThat(table.revision())
                .isEqualTo(revisions.stream().mapToLong(Long::longValue).max().orElse(0));
    }
}
