package org.pimentovale.kernel.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ColdEndpointRateLimiterTest {
    private static final double REQUESTS_PER_SECOND = 9.3;

    private static List<String> names(int instances) {
        List<String> names = new ArrayList<>();
        for (int instance = 0; instance < instances; instance++) {
            names.add("instance-" + instance);
        }
        return names;
    }

    /** All instances want to send as much as they can, from one moment on. */
    private static int sentInFirstSecond(int instances) {
        List<String> names = names(instances);
        int sent = 0;
        for (String name : names) {
            ColdEndpointRateLimiter limiter = new ColdEndpointRateLimiter(name);
            for (long nowMs = 0; nowMs < 1_000; nowMs += 25) {
                if (limiter.maySend("endpoint", REQUESTS_PER_SECOND, names, nowMs)) {
                    limiter.recordSend("endpoint", REQUESTS_PER_SECOND, nowMs);
                    sent++;
                }
            }
        }
        return sent;
    }

    @Nested
    class AllInstancesSendingAtOnce {
        @Test
        void stayWithinTheRateAndItsTolerance() {
            for (int instances : new int[] {1, 2, 8, 60, 370}) {
                assertThat((double) sentInFirstSecond(instances)).isAtMost(REQUESTS_PER_SECOND * 1.5 + 5);
            }
        }

        @Test
        void stillSendSomeRequests() {
            assertThat(sentInFirstSecond(60)).isAtLeast(4);
        }
    }

    @Test
    void sendsNothingAtARateOfZero() {
        assertThat(new ColdEndpointRateLimiter("a").maySend("endpoint", 0, List.of("a"), 0)).isFalse();
    }
}
