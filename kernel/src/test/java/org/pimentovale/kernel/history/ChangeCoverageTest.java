package org.pimentovale.kernel.history;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.time.ClockReading;

class ChangeCoverageTest {
    private static final long MAX_GAP_MS = 3_000;
    private static final ClockReading START = new ClockReading(500, 1_000_000);

    private final ChangeCoverage coverage = new ChangeCoverage(MAX_GAP_MS);

    @Test
    void isZeroBeforeAndAtTheFirstList() {
        assertThat(coverage.coveredMs()).isEqualTo(0);

        coverage.recordList(START, START.plusMs(1));

        assertThat(coverage.coveredMs()).isEqualTo(0);
    }

    @Test
    void goesOnWhenChangesAreDeliveredLate() {
        coverage.recordList(START, START);
        coverage.recordChanges(START.plusMs(20_000));

        assertThat(coverage.coveredMs()).isEqualTo(20_000);
    }

    @Nested
    class KnownTimeBeforeTheFirstList {
        @Test
        void isAddedWhileTheCoverageReachesBackToThatList() {
            coverage.recordList(START, START);
            coverage.recordChanges(START.plusMs(100));

            assertThat(coverage.addEarlier(40_000)).isTrue();
            assertThat(coverage.coveredMs()).isEqualTo(40_100);
        }

        @Test
        void isNotAddedBeforeTheFirstListOrAfterAGap() {
            assertThat(coverage.addEarlier(40_000)).isFalse();
            coverage.recordList(START, START);
            coverage.recordList(START.plusMs(MAX_GAP_MS + 1), START.plusMs(MAX_GAP_MS + 2));

            assertThat(coverage.addEarlier(40_000)).isFalse();
            assertThat(coverage.coveredMs()).isEqualTo(0);
        }

        @Test
        void endsWithTheNextGap() {
            coverage.recordList(START, START);
            coverage.addEarlier(40_000);
            coverage.recordList(START.plusMs(MAX_GAP_MS + 1), START.plusMs(MAX_GAP_MS + 2));

            assertThat(coverage.coveredMs()).isEqualTo(0);
        }
    }

    @Nested
    class AnotherList {
        private final ClockReading lastChanges = START.plusMs(10_000);

        private void listAgain(ClockReading sent, ClockReading received) {
            coverage.recordList(START, START);
            coverage.recordChanges(lastChanges);
            coverage.recordList(sent, received);
        }

        @Test
        void continuesItAfterAShortGap() {
            listAgain(lastChanges.plusMs(100), lastChanges.plusMs(MAX_GAP_MS));

            assertThat(coverage.coveredMs()).isEqualTo(10_100);
        }

        @Test
        void beginsItAnewAfterALongGap() {
            listAgain(lastChanges.plusMs(100), lastChanges.plusMs(MAX_GAP_MS + 1));

            assertThat(coverage.coveredMs()).isEqualTo(0);
        }

        @Test
        void beginsItAnewAfterASuspensionThatTheMonotonicClockDidNotCount() {
            ClockReading received =
                    new ClockReading(lastChanges.monotonicMs() + 1, lastChanges.timeOfDayMs() + MAX_GAP_MS + 1);
            listAgain(received, received);

            assertThat(coverage.coveredMs()).isEqualTo(0);
        }

        @Test
        void beginsItAnewAfterTheTimeOfDayWasSetBack() {
            ClockReading received =
                    new ClockReading(lastChanges.monotonicMs() + 1, lastChanges.timeOfDayMs() - MAX_GAP_MS - 1);
            listAgain(received, received);

            assertThat(coverage.coveredMs()).isEqualTo(0);
        }
    }
}
