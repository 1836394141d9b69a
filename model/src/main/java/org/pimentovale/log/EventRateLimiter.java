package org.pimentovale.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many lines an event of one name may write a second.
 *
 * <p>Invariant: at most the given number of lines is granted for a name in one window; what was left out in a window is
 * reported with the first grant of a later one. Thread safe; its lock is a leaf.
 */
public final class EventRateLimiter {
    private static final long WINDOW_MS = 1_000;

    private final int linesPerWindow;
    private final Map<String, Window> windows = new HashMap<>();

    /** The lines of one event in its current window; guarded by the budget's lock. */
    private static final class Window {
        private long startMs;
        private int granted;
        private int suppressed;
    }

    /**
     * Creates a budget.
     *
     * @param linesPerSecond lines for each event name
     */
    public EventRateLimiter(int linesPerSecond) {
        this.linesPerWindow = linesPerSecond;
    }

    /**
     * Asks to write a line.
     *
     * @param event the event's name
     * @param nowMs the time in milliseconds
     * @return negative where the line must be left out, else how many lines were left out since the last grant
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
