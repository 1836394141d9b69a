package org.pimentovale.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the rate of log lines for each event name.
 *
 * <p>Invariant: at most the given number of lines is permitted for a name in a window of one second. The number of
 * suppressed lines is reported with the next permitted line of that name. Thread safe; it takes no other lock
 * while it holds its own.
 */
public final class EventRateLimiter {
    private static final long WINDOW_MS = 1_000;

    private final int linesPerWindow;
    private final Map<String, Window> windows = new HashMap<>();

    /** Counts the lines of one event in its current window; guarded by the limiter's lock. */
    private static final class Window {
        private long startMs;
        private int granted;
        private int suppressed;
    }

    /**
     * Creates a rate limiter.
     *
     * @param linesPerSecond the maximum number of lines per second for each event name
     */
    public EventRateLimiter(int linesPerSecond) {
        this.linesPerWindow = linesPerSecond;
    }

    /**
     * Requests permission to write a line.
     *
     * @param event the event name
     * @param nowMs the current time in milliseconds, of a monotonic clock
     * @return a negative number if the line must be suppressed, otherwise the number of lines suppressed since the last
     *     permitted one
     */
    public synchronized int tryAcquire(String event, long nowMs) {
        Window window = windows.computeIfAbsent(event, unused -> new Window());
        if (nowMs - window.startMs >= WINDOW_MS) {
            window.startMs = nowMs;
            window.granted = 0;
        }
        if (window.granted >= linesPerWindow) {
            window.suppressed++;
            return -1;
        }
        window.granted++;
        int suppressed = window.suppressed;
        window.suppressed = 0;
        return suppressed;
    }
}
