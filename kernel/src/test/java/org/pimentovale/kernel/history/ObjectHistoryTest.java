package org.pimentovale.kernel.history;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ObjectHistoryTest {
    private static final long RETENTION_MS = 20_000;
    private static final long RESTORED_MS = 10_000;

    private final ObjectHistory history = new ObjectHistory(RETENTION_MS);

    private static ObjectWrite stamped(long era, long revision, long incarnation, long sequence) {
        return new ObjectWrite(
                "stamped", new StoreRevision(era, revision), Optional.of(new WriteStamp(incarnation, sequence)));
    }

    private static ObjectWrite plain(long era, long revision) {
        return new ObjectWrite("plain", new StoreRevision(era, revision), Optional.empty());
    }

    private ListVerdict list(long era, long revision, long nowMs, ObjectWrite... writes) {
        return history.acceptList(new StoreRevision(era, revision), List.of(writes), nowMs);
    }

    @Nested
    class WithinAnEra {
        @Test
        void believesEachListAndChange() {
            list(1, 5, 0, stamped(1, 5, 0, 9));

            ListVerdict verdict = list(1, 6, 0, stamped(1, 6, 0, 3), plain(1, 2));

            assertThat(verdict.accepted()).containsExactly("stamped", "plain");
            assertThat(history.acceptChange(stamped(1, 7, 0, 1))).isTrue();
            assertThat(history.acceptRemoval(stamped(1, 7, 0, 1))).isTrue();
            assertThat(history.settling()).isFalse();
        }

        @Test
        void removesWhatIsNotListed() {
            list(1, 5, 0, plain(1, 2));

            ListVerdict verdict = list(1, 6, 0);

            assertThat(verdict.retained()).isEmpty();
            assertThat(list(1, 7, 0, plain(1, 2)).accepted()).containsExactly("plain");
        }

        /** Guards against objects that come back because a copy of an earlier list is taken for a list. */
        @Test
        void ignoresListedWritesThatPrecedeAKnownRemovalOrWrite() {
            list(1, 5, 0, plain(1, 2), stamped(1, 4, 0, 1));
            history.acceptRemoval(plain(1, 2));
            history.acceptChange(stamped(1, 6, 0, 2));

            ListVerdict verdict = list(1, 8, 0, plain(1, 2), stamped(1, 4, 0, 1));

            assertThat(verdict.accepted()).isEmpty();
            assertThat(verdict.retained()).containsExactly("stamped");
            assertThat(history.acceptChange(plain(1, 2))).isFalse();
            assertThat(list(1, 9, 0, plain(1, 9)).accepted()).containsExactly("plain");
        }

        @Test
        void ignoresChangesThatPrecedeAListedWrite() {
            list(1, 5, 0, plain(1, 8));

            assertThat(history.acceptChange(plain(1, 6))).isFalse();
            assertThat(history.acceptRemoval(plain(1, 6))).isFalse();
            assertThat(history.acceptChange(plain(1, 8))).isTrue();
            assertThat(history.acceptRemoval(plain(1, 8))).isTrue();
        }

        @Test
        void believesTheRemovalOfAListedObject() {
            list(1, 5, 0, plain(1, 2));

            assertThat(history.acceptRemoval(plain(1, 2))).isTrue();
        }
    }

    @Nested
    class FirstList {
        @Test
        void isBelievedInAnyEra() {
            assertThat(list(7, 5, 0, plain(7, 2)).accepted()).containsExactly("plain");
            assertThat(history.settling()).isFalse();
        }
    }

    @Nested
    class AfterARestore {
        @BeforeEach
        void confirmObjects() {
            list(1, 30, 0, stamped(1, 20, 5, 9), plain(1, 25));
        }

        @Test
        void acceptsARevisionBelowTheKnownOne() {
            list(2, 10, RESTORED_MS);

            assertThat(history.revision()).isEqualTo(new StoreRevision(2, 10));
            assertThat(new StoreRevision(1, 99).precedes(history.revision())).isTrue();
        }

        @Test
        void keepsTheStateOfANewerWriteUntilItIsWrittenAgain() {
            ListVerdict verdict = list(2, 10, RESTORED_MS, stamped(2, 8, 5, 7), plain(2, 3));

            assertThat(verdict.retained()).containsExactly("stamped");
            assertThat(verdict.accepted()).containsExactly("plain");
            assertThat(history.acceptChange(stamped(2, 11, 5, 8))).isFalse();
            assertThat(list(2, 12, RESTORED_MS + 60_000, stamped(2, 11, 5, 8), plain(2, 3))
                            .retained())
                    .containsExactly("stamped");
            assertThat(history.acceptChange(stamped(2, 13, 5, 9))).isTrue();
        }

        @Test
        void followsTheRevisionOnceAnObjectIsWrittenAgain() {
            list(2, 10, RESTORED_MS, plain(2, 3));
            history.acceptChange(stamped(2, 11, 5, 10));

            assertThat(history.acceptChange(stamped(2, 12, 4, 1))).isTrue();
        }

        @Test
        void believesANewIncarnationAlthoughItsSequenceStartsAnew() {
            assertThat(list(2, 10, RESTORED_MS, stamped(2, 8, 6, 1)).accepted()).containsExactly("stamped");
        }

        @Test
        void believesAnEarlierIncarnationOnlyWhenWrittenAfterTheSettlingTime() {
            list(2, 10, RESTORED_MS, stamped(2, 8, 4, 1), plain(2, 3));
            assertThat(history.acceptChange(stamped(2, 11, 4, 2))).isFalse();

            list(2, 11, RESTORED_MS + ObjectHistory.SETTLING_MS, plain(2, 3));

            assertThat(history.acceptChange(stamped(2, 12, 4, 3))).isTrue();
        }

        @Test
        void retainsWhatIsNotListedForTheRetentionTime() {
            assertThat(list(2, 10, RESTORED_MS).retained()).containsExactly("plain", "stamped");
            assertThat(list(2, 11, RESTORED_MS + RETENTION_MS - 1).retained()).containsExactly("plain", "stamped");

            assertThat(list(2, 12, RESTORED_MS + RETENTION_MS).retained()).isEmpty();
        }

        @Test
        void ignoresTheRemovalOfAnOlderWriteWhileSettling() {
            list(2, 10, RESTORED_MS, stamped(2, 8, 4, 9));

            assertThat(history.acceptRemoval(stamped(2, 8, 4, 9))).isFalse();
            assertThat(history.acceptRemoval(stamped(2, 12, 5, 9))).isTrue();
        }

        @Test
        void isToBeListedAgainAfterTheSettlingAndTheRetentionTime() {
            list(2, 10, RESTORED_MS);

            assertThat(history.nextListMs(RESTORED_MS + 1)).isEqualTo(ObjectHistory.SETTLING_MS - 1);
            list(2, 10, RESTORED_MS + ObjectHistory.SETTLING_MS);
            assertThat(history.settling()).isTrue();
            assertThat(history.nextListMs(RESTORED_MS + ObjectHistory.SETTLING_MS))
                    .isEqualTo(RETENTION_MS - ObjectHistory.SETTLING_MS);
            list(2, 10, RESTORED_MS + RETENTION_MS);
            assertThat(history.settling()).isFalse();
        }

        @Test
        void settlesAnewAfterASecondRestore() {
            list(2, 10, RESTORED_MS, plain(2, 3), stamped(2, 8, 5, 9));
            list(3, 4, RESTORED_MS + 3_000, plain(3, 3));

            assertThat(history.nextListMs(RESTORED_MS + 3_000)).isEqualTo(ObjectHistory.SETTLING_MS);
            assertThat(list(3, 5, RESTORED_MS + 3_000, plain(3, 3)).retained()).containsExactly("stamped");
        }
    }

    @Nested
    class RemovedObjects {
        @BeforeEach
        void removeObjects() {
            list(1, 30, 0, stamped(1, 20, 5, 9), plain(1, 25));
            history.acceptRemoval(stamped(1, 20, 5, 9));
            history.acceptRemoval(plain(1, 31));
            history.advance(new StoreRevision(1, 32));
        }

        @Test
        void stayRemovedWhenTheRestoredStoreListsThem() {
            ListVerdict verdict = list(2, 26, RESTORED_MS, stamped(2, 20, 5, 9), plain(2, 25));

            assertThat(verdict.accepted()).isEmpty();
            assertThat(verdict.reappeared()).containsExactly("stamped", "plain");
        }

        @Test
        void returnWhenTheirWriterWritesAgain() {
            list(2, 26, RESTORED_MS, stamped(2, 20, 5, 9), plain(2, 25));

            assertThat(history.acceptChange(stamped(2, 27, 5, 10))).isTrue();
            assertThat(history.acceptChange(plain(2, 28))).isTrue();
        }

        @Test
        void areBelievedIfWrittenAgainBeforeTheList() {
            ListVerdict verdict = list(2, 40, RESTORED_MS, stamped(2, 27, 6, 1), plain(2, 39));

            assertThat(verdict.accepted()).containsExactly("stamped", "plain");
        }

        @Test
        void areBelievedIfStillListedAfterTheSettlingTime() {
            list(2, 26, RESTORED_MS, stamped(2, 20, 5, 9), plain(2, 25));

            ListVerdict verdict =
                    list(2, 26, RESTORED_MS + ObjectHistory.SETTLING_MS, stamped(2, 20, 5, 9), plain(2, 25));

            assertThat(verdict.accepted()).containsExactly("stamped", "plain");
        }
    }

    @Nested
    class LearnedFromAnotherInstance {
        private static final long STARTED_MS = 11_000;

        @BeforeEach
        void startAfterTheRestore() {
            list(2, 26, STARTED_MS, stamped(2, 20, 5, 7), plain(2, 25));
            history.learnRestore(RESTORED_MS);
        }

        @Test
        void aNewerWriteIsInForceUntilItIsWrittenAgain() {
            assertThat(history.learnPresent(stamped(1, 31, 5, 9))).isTrue();

            assertThat(history.acceptChange(stamped(2, 27, 5, 8))).isFalse();
            assertThat(history.acceptChange(stamped(2, 28, 5, 9))).isTrue();
        }

        @Test
        void anOlderWriteIsIgnored() {
            assertThat(history.learnPresent(stamped(1, 31, 5, 6))).isFalse();
        }

        @Test
        void aWriteOfTheCurrentEraIsIgnored() {
            assertThat(history.learnPresent(stamped(2, 31, 5, 9))).isFalse();
        }

        @Test
        void aRemovalIsInForceUnlessWrittenAgain() {
            assertThat(history.learnRemoval(stamped(1, 31, 5, 9))).isTrue();
            assertThat(history.learnRemoval(plain(1, 24))).isFalse();

            assertThat(list(2, 27, STARTED_MS, stamped(2, 20, 5, 7), plain(2, 25))
                            .reappeared())
                    .containsExactly("stamped");
        }

        @Test
        void areListedAgainWhenTheSettlingTimeOfTheOtherInstanceIsOver() {
            assertThat(history.nextListMs(STARTED_MS)).isEqualTo(RESTORED_MS + ObjectHistory.SETTLING_MS - STARTED_MS);
        }
    }
}
