package org.pimentovale.kernel.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MemberTableTest {
    private static Member member(int number) {
        return new Member("member-" + number, "zone", "host:" + number, "host:" + number);
    }

    @Nested
    class Liveness {
        @Test
        void deadMemberIsLiveAgainOnlyInALaterEpoch() {
            MemberTable table = new MemberTable(member(0));
            table.setRegistered(List.of(member(0), member(1), member(2)), 0);
            assertThat(table.live()).hasSize(3);
            table.declareDead("member-1", 0);
            assertThat(table.live()).containsExactly(member(0), member(2));
            table.recordContact(member(1), 0, 20);
            assertThat(table.live()).hasSize(2);
            table.recordContact(member(1), 1, 30);
            assertThat(table.live()).hasSize(3);
        }

        @Test
        void instanceRefutesItsOwnDeath() {
            MemberTable table = new MemberTable(member(0));
            table.declareDead("member-0", 0);
            assertThat(table.ownEpoch()).isEqualTo(1);
            assertThat(table.live()).containsExactly(member(0));
        }
    }

    @Nested
    class Ranking {
        @Test
        void exactlyOneMemberRanksFirstAndKeysAreSpreadEvenly() {
            List<Member> all = new ArrayList<>();
            for (int number = 0; number < 8; number++) {
                all.add(member(number));
            }
            int[] preferred = new int[8];
            for (int key = 0; key < 800; key++) {
                int firstRankedCount = 0;
                for (int number = 0; number < 8; number++) {
                    MemberTable table = new MemberTable(member(number));
                    table.setRegistered(all, 0);
                    if (table.rank("duty-" + key) == 0) {
                        firstRankedCount++;
                        preferred[number]++;
                    }
                }
                assertThat(firstRankedCount).isEqualTo(1);
            }
            for (int count : preferred) {
                assertThat(count).isIn(com.google.common.collect.Range.closed(60, 140));
            }
        }
    }
}
