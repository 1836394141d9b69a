package org.pimentovale.kernel.hedge;

/**
 * Requests whose durations are compared: those of one route and a similar size of work. Sizes are grouped by powers of
 * four, so that a long request is not taken for a slow one. Immutable and thread safe.
 */
record DurationGroup(String route, int sizeClass) {
    private static final int BITS_PER_SIZE_CLASS = 2;

    static DurationGroup of(String route, long workSize) {
        return new DurationGroup(route, (Long.SIZE - Long.numberOfLeadingZeros(workSize)) / BITS_PER_SIZE_CLASS);
    }
}
