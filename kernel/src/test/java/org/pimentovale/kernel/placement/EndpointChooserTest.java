package org.pimentovale.kernel.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.directory.EndpointDirectory;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;

class EndpointChooserTest {
    private final EndpointDirectory directory = new EndpointDirectory();

    @BeforeEach
    void listEndpoints() {
        for (String name : List.of("a", "b", "c")) {
            String zone = name.equals("c") ? "south" : "north";
            directory.put(new EndpointRecord(name, "s", "10.0.0.1:80", zone, 6, false, 0, 1, ""), 0);
        }
    }

    private EndpointState endpoint(String name) {
        return directory.find(name).orElseThrow();
    }

    private String choose(Set<String> tried, Optional<String> part, String zone) {
        return EndpointChooser.choose(directory.usable("s"), tried, part, zone, 0)
                .map(state -> state.latest().identifier())
                .orElse("none");
    }

    @Nested
    class WithoutSharedPrompt {
        @Test
        void choosesLeastLoadedEndpoint() {
            endpoint("a").startCall();
            endpoint("b").recordLoad(5, 0);

            assertThat(choose(Set.of(), Optional.empty(), "north")).isEqualTo("c");
        }

        @Test
        void prefersOwnZoneOnEqualLoad() {
            assertThat(choose(Set.of(), Optional.empty(), "south")).isEqualTo("c");
        }

        @Test
        void usesEndpointsInBackoffOnlyAsLastResort() {
            endpoint("c").recordFailure(0);

            assertThat(choose(Set.of(), Optional.empty(), "south")).isNotEqualTo("c");
            assertThat(choose(Set.of("a", "b"), Optional.empty(), "south")).isEqualTo("c");
        }

        @Test
        void excludesTriedEndpoints() {
            assertThat(choose(Set.of("a", "b", "c"), Optional.empty(), "north")).isEqualTo("none");
        }
    }

    @Nested
    class WithSharedPrompt {
        @Test
        void choosesSameEndpointForSamePartFromAnyZone() {
            String first = choose(Set.of(), Optional.of("part"), "north");

            assertThat(choose(Set.of(), Optional.of("part"), "south")).isEqualTo(first);
        }

        @Test
        void dropsAffinityToOverloadedEndpoint() {
            String first = choose(Set.of(), Optional.of("part"), "north");
            endpoint(first).recordLoad(60, 0);

            assertThat(choose(Set.of(), Optional.of("part"), "north")).isNotEqualTo(first);
        }
    }
}
