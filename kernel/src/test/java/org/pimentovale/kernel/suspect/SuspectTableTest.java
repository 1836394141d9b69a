package org.pimentovale.kernel.suspect;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
    @Nested
    class AfterLosses {
        @Test
        void secondDistinctEndpointQuarantinesPermanently() {
            SuspectTable table = new SuspectTable(100, 2);
            assertThat(table.verdict("request")).isEqualTo(SuspectVerdict.CLEAR);
            table.recordLoss("request", "host:1#a");
            table.recordLoss("request", "host:1#a");
            assertThat(table.verdict("request")).isEqualTo(SuspectVerdict.RUN_ALONE);
            table.recordLoss("request", "host:2#a");
            table.clear("request");
            assertThat(table.verdict("request")).isEqualTo(SuspectVerdict.QUARANTINED);
        }

        @Test
        void completeAnswerClearsRequestBelowThreshold() {
            SuspectTable table = new SuspectTable(100, 2);
            table.recordLoss("request", "host:1#a");
            table.clear("request");
            assertThat(table.verdict("request")).isEqualTo(SuspectVerdict.CLEAR);
        }
    }
}
