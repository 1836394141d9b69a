package org.pimentovale.store.http;

/**
 * The extra time of one call whose timeout was noticed late because the event loop was busy.
 *
 * <p>A late timer shows that the request may have been sent late, or that its response was received but not read. A
 * process that runs its code for the first time blocks its event loop for hundreds of milliseconds at a time; each call
 * that is repeated then costs the store a read and this process more of the work that blocks it.
 *
 * <p>A call that waits for changes gets no extra time, as its timeout is how a silent connection is noticed. Invariant:
 * the extra time of a call is at most its timeout. Not thread safe; used on one event loop.
 */
final class BusyLoopAllowance {
    /** The longest timeout of a call that does not wait for changes, in milliseconds. */
    private static final int MAX_CALL_TIMEOUT_MS = 1_000;
    /** A timer that is late by less has been delayed by ordinary work, in milliseconds. */
    private static final long MIN_LATENESS_MS = 50;
    /** A timer that is late by more belongs to a process that was suspended, in milliseconds. */
    private static final long MAX_LATENESS_MS = 5_000;

    private int remainingMs;

    private BusyLoopAllowance(int remainingMs) {
        this.remainingMs = remainingMs;
    }

    /** Creates the allowance of a call that gets no extra time. */
    static BusyLoopAllowance none() {
        return new BusyLoopAllowance(0);
    }

    /** Creates the allowance of a call with a timeout in milliseconds. */
    static BusyLoopAllowance of(int timeoutMs) {
        return new BusyLoopAllowance(timeoutMs <= MAX_CALL_TIMEOUT_MS ? timeoutMs : 0);
    }

    /**
     * Tells whether a timer fired so late that the event loop was busy.
     *
     * @param latenessMs how late the timer fired, in milliseconds
     */
    static boolean isLate(long latenessMs) {
        return latenessMs >= MIN_LATENESS_MS;
    }

    /**
     * Takes extra time for a timer that has fired.
     *
     * @param latenessMs how late the timer fired, in milliseconds
     * @return the extra time in milliseconds, zero if the call has failed
     */
    int takeMs(long latenessMs) {
        if (!isLate(latenessMs) || latenessMs > MAX_LATENESS_MS) {
            return 0;
        }
        int extraMs = (int) Math.min(remainingMs, latenessMs);
        remainingMs -= extraMs;
        return extraMs;
    }
}
