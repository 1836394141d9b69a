package org.pimentovale.log;

import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Writes events as one line of key=value pairs each, at a bounded rate for each event name. Thread safe.
 */
public final class Events {
    private static final int MAX_LINES_PER_SECOND = 200;
    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter(MAX_LINES_PER_SECOND);

    private Events() {}

    /**
     * Logs an event in the course of normal work.
     *
     * @param logger the logger of the class that saw it
     * @param event the event's name, in snake case
     * @param pairs keys and values in turn
     */
    public static void info(Logger logger, String event, Object... pairs) {
        if (logger.isInfoEnabled()) {
            write(logger, Logger.Level.INFO, event, pairs);
        }
    }

    /**
     * Logs an event that an operator may want to look at.
     *
     * @param logger the logger of the class that saw it
     * @param event the event's name, in snake case
     * @param pairs keys and values in turn
     */
    public static void warn(Logger logger, String event, Object... pairs) {
        write(logger, Logger.Level.WARN, event, pairs);
    }

    private static void write(Logger logger, Logger.Level level, String event, Object... pairs) {
        int suppressed = RATE_LIMITER.tryAcquire(event, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        if (suppressed >= 0) {
            logger.log(
                    level,
                    suppressed == 0 ? format(event, pairs) : format(event, pairs) + " lines_left_out=" + suppressed);
        }
    }

    /**
     * Formats an event.
     *
     * @param event the event's name
     * @param pairs keys and values in turn
     * @return one line
     */
    public static String format(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int position = 0; position + 1 < pairs.length; position += 2) {
            line.append(' ')
                    .append(pairs[position])
                    .append('=')
                    .append(quoteIfNeeded(String.valueOf(pairs[position + 1])));
        }
        return line.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(code -> code <= ' ' || code == '"' || code == '=');
        return plain
                ? value
                : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("[\\r\\n]+", " ") + '"';
    }
}
