package org.pimentovale.kernel.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RecentMaximumTest {
    private final RecentMaximum maximum = new RecentMaximum(100);

    @Test
    void isZeroWithoutObservations() {
        assertThat(maximum.get(0)).isEqualTo(0);
    }

    @Test
    void keepsAGreaterValueForTheWindow() {
        maximum.observe(8, 0);
        maximum.observe(5, 60);

        assertThat(maximum.get(100)).isEqualTo(8);
        assertThat(maximum.get(101)).isEqualTo(5);
    }

    @Test
    void countsAValueFromItsLastObservation() {
        maximum.observe(8, 0);
        maximum.observe(8, 90);
        maximum.observe(3, 95);

        assertThat(maximum.get(190)).isEqualTo(8);
    }
}
