package org.pimentovale.kernel.time;

/** A clock that never goes backwards and advances while the process is paused. Implementations are thread safe. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the time since an arbitrary origin.
     *
     * @return the time in milliseconds
     */
    long nowMs();
}
