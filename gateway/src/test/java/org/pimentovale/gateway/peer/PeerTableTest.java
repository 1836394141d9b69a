package org.pimentovale.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.gateway.port.InstanceRecord;

class PeerTableTest {
    private static final List<InstanceRecord> ALL = List.of(instance("a"), instance("b"), instance("c"), instance("d"));

    private static InstanceRecord instance(String name) {
        return new InstanceRecord(name, "10.0.0.1:80", "north");
    }

    private static PeerTable tableOf(String self) {
        PeerTable table = new PeerTable(instance(self));
        table.replaceAll(ALL);
        return table;
    }

    private static String owner(PeerTable table, String duty) {
        return table.owner(duty).map(InstanceRecord::name).orElse(table.self().name());
    }

    @Nested
    class Owners {
        @Test
        void areTheSameForAllGateways() {
            for (String duty : List.of("catalogue", "desk", "tickets", "engines")) {
                String first = owner(tableOf("a"), duty);

                assertThat(owner(tableOf("b"), duty)).isEqualTo(first);
                assertThat(owner(tableOf("c"), duty)).isEqualTo(first);
                assertThat(owner(tableOf("d"), duty)).isEqualTo(first);
            }
        }

        @Test
        void areReplacedWhileTheyGiveNoAnswer() {
            PeerTable table = tableOf("a");
            String duty = dutyOf("b");
            assertThat(table.recordSilence("b", 0)).isTrue();
            assertThat(table.recordSilence("b", 1)).isFalse();

            assertThat(owner(table, duty)).isNotEqualTo("b");
            assertThat(table.recordAnswer("b")).isTrue();

            assertThat(owner(table, duty)).isEqualTo("b");
        }

        @Test
        void passTheirDutiesOnWhenTheyLeave() {
            PeerTable table = tableOf("a");
            String duty = dutyOf("a");
            assertThat(table.owner(duty)).isEqualTo(Optional.empty());

            table.leave();

            assertThat(owner(table, duty)).isNotEqualTo("a");
        }

        @Test
        void keepTheirDutiesWhereNobodyElseAnswers() {
            PeerTable alone = new PeerTable(instance("a"));

            alone.leave();

            assertThat(alone.owner("desk")).isEmpty();
        }

        private String dutyOf(String name) {
            int number = 0;
            while (!owner(tableOf("c"), "duty-" + number).equals(name)) {
                number++;
            }
            return "duty-" + number;
        }
    }

    @Nested
    class Entries {
        @Test
        void ofGoneGatewaysAreForgotten() {
            PeerTable table = tableOf("a");

            table.remove("b");
            table.replaceAll(List.of(instance("a"), instance("c")));

            assertThat(table.names()).containsExactly("a", "c");
        }

        @Test
        void withANewAddressAreTriedAgain() {
            PeerTable table = tableOf("a");
            table.recordSilence("b", 0);

            table.put(new InstanceRecord("b", "10.0.0.9:80", "north"));

            assertThat(table.answers("b")).isTrue();
        }
    }
}
