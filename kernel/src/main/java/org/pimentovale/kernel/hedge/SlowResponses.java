package org.pimentovale.kernel.hedge;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tells whether so many of a service's latest responses are slow that the service as a whole is slow, in which case
 * another endpoint would not respond sooner.
 *
 * <p>About one response in twenty is slow by definition. Of {@link #REMEMBERED} responses at the usual rate, six or
 * more are slow with a probability below 0.01. Not thread safe.
 */
final class SlowResponses {
    private static final int REMEMBERED = 32;
    private static final int WIDESPREAD = 6;

    private final Deque<Boolean> latest = new ArrayDeque<>();
    private int slow;

    /** Records whether a response took longer than usual, as soon as that is known. */
    void record(boolean wasSlow) {
        latest.addLast(wasSlow);
        slow += wasSlow ? 1 : 0;
        if (latest.size() > REMEMBERED) {
            slow -= latest.pollFirst() ? 1 : 0;
        }
    }

    /** Records a number of responses of one kind. */
    void record(boolean wereSlow, int count) {
        for (int response = 0; response < Math.min(count, REMEMBERED); response++) {
            record(wereSlow);
        }
    }

    boolean widespread() {
        return slow >= WIDESPREAD;
    }
}
