package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.kernel.history.ContactPlan;
import org.pimentovale.kernel.history.ContactRole;
import org.pimentovale.kernel.history.SilenceLimit;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.time.ClockReading;

/** Guards against reports of a change that is none, and against waits that differ from the role. */
class FeedWaitsTest {
    private static final int SHORT_MS = 2_000;
    private static final StoreRevision LISTED = new StoreRevision(0, 5);
    private static final ClockReading START = new ClockReading(1_000, 1_000_000);

    private ContactRole role = ContactRole.FOLLOWER;
    private final FeedWaits waits = new FeedWaits(new FeedTiming(SHORT_MS, () -> 0, 0), () -> role);

    @BeforeEach
    void list() {
        waits.recordList(LISTED, START);
    }

    private static ObjectChanges changes(long revision, ObjectChanges.Change... changes) {
        return new ObjectChanges(List.of(changes), new StoreRevision(0, revision));
    }

    private static ObjectChanges.Change change(long revision, boolean removed) {
        return new ObjectChanges.Change(FeedFixture.entry("desk-1", revision), removed);
    }

    private void receive(ObjectChanges changes) {
        waits.recordChanges(changes, START, START.plusMs(SHORT_MS));
    }

    private long reportedRevision() {
        return waits.report(ObjectKind.ENDPOINTS, START).orElseThrow().changedRevision();
    }

    @Nested
    class Waits {
        @Test
        void dependOnTheRole() {
            waits.recordReport(LISTED, START, LISTED, START);

            assertThat(waits.nextMs(START)).isEqualTo(ContactPlan.LONG_WAIT_MS);
            role = ContactRole.REPORTER;
            assertThat(waits.nextMs(START)).isEqualTo(ContactPlan.REPORTER_WAIT_MS);
            role = ContactRole.INDEPENDENT;
            assertThat(waits.nextMs(START)).isEqualTo(SHORT_MS);
        }

        /** Guards against changes that are known late on a silent connection because of the delay between watches. */
        @Test
        void leaveTheBatchDelayWithinTheLimitOnSilence() {
            FeedWaits limited =
                    new FeedWaits(new FeedTiming(SHORT_MS, () -> 400, 0, new SilenceLimit(3_000)), () -> role);
            limited.recordList(LISTED, START);
            limited.recordReport(LISTED, START, LISTED, START);

            assertThat(limited.nextMs(START)).isEqualTo(1_700);
        }

        @Test
        void thatAreLongEndWhenThisGatewayBecomesAReporter() {
            waits.recordReport(LISTED, START, LISTED, START);
            assertThat(waits.checkReason(START)).isEmpty();

            role = ContactRole.REPORTER;

            assertThat(waits.checkReason(START)).isPresent();
        }

        @Test
        void thatAreLongAnywayNeedNoReports() {
            FeedWaits rare = new FeedWaits(new FeedTiming(25_000, () -> 0, 0), () -> ContactRole.REPORTER);
            rare.recordList(LISTED, START);

            assertThat(rare.nextMs(START)).isEqualTo(25_000);
            assertThat(rare.report(ObjectKind.INSTANCES, START)).isEmpty();
        }
    }

    @Nested
    class AReport {
        @Test
        void doesNotRiseWithWritesOfOtherKinds() {
            receive(changes(90));

            assertThat(reportedRevision()).isEqualTo(5);
        }

        @Test
        void namesTheLastWriteOfTheKind() {
            receive(changes(90, change(70, false), change(80, false)));

            assertThat(reportedRevision()).isEqualTo(80);
        }

        @Test
        void namesTheResponseThatBroughtARemoval() {
            receive(changes(90, change(3, true)));

            assertThat(reportedRevision()).isEqualTo(90);
        }

        @Test
        void countsTheAgeAlsoWhileTheMonotonicClockStandsStill() {
            ClockReading resumed = new ClockReading(START.monotonicMs(), START.timeOfDayMs() + 60_000);

            assertThat(waits.report(ObjectKind.ENDPOINTS, resumed).orElseThrow().ageMs())
                    .isEqualTo(60_000);
        }
    }

    @Nested
    class TheAge {
        @Test
        void isThatOfTheStoresOrAReportersLatestStatement() {
            ClockReading later = START.plusMs(9_000);
            assertThat(waits.ageMs(later)).hasValue(9_000L);

            waits.recordReport(LISTED, START.plusMs(8_000), LISTED, later);

            assertThat(waits.ageMs(later)).hasValue(1_000L);
        }
    }
}
