package org.pimentovale.kernel.probe;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ProbeScheduleTest {
    private static List<String> endpoints(int count) {
        List<String> endpoints = new ArrayList<>();
        for (int position = 0; position < count; position++) {
            endpoints.add("host:" + position);
        }
        return endpoints;
    }

    @Nested
    class WithManyEndpoints {
        @Test
        void staysWithinBudgetAndProbesEveryEndpoint() {
            ProbeSchedule schedule = new ProbeSchedule(10, 1_000, 100);
            Set<String> probed = new HashSet<>();
            int probes = 0;
            for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
                probes += schedule.next(endpoints(100), Set.of(), nowMs)
                                .map(probed::add)
                                .isPresent()
                        ? 1
                        : 0;
            }
            assertThat(probes).isAtMost(210);
            assertThat(probed).hasSize(100);
        }
    }

    @Nested
    class WithAnUrgentEndpoint {
        @Test
        void probesItFirst() {
            ProbeSchedule schedule = new ProbeSchedule(100, 1_000, 100);
            for (String endpoint : endpoints(5)) {
                schedule.recordContact(endpoint, 0);
            }
            assertThat(schedule.next(endpoints(5), Set.of("host:3"), 150)).hasValue("host:3");
            assertThat(schedule.next(endpoints(5), Set.of("host:3"), 160)).isEmpty();
        }
    }
}
