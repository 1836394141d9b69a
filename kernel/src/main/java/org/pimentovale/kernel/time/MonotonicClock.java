package org.pimentovale.kernel.time;

/** A clock that never goes back and goes on while the process is paused. Implementations are thread safe. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the time since an arbitrary start.
     *
     * @return milliseconds
     */
    long nowMs();
}
