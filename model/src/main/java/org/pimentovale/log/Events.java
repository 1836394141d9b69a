package org.pimentovale.log;

import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Logs events as lines of key=value pairs, with a rate limit for each event name. Thread safe.
 */
public final class Events {
    private static final int MAX_LINES_PER_SECOND = 200;
    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter(MAX_LINES_PER_SECOND);

    private Events() {}

    /**
     * Logs an event of normal operation.
     *
     * @param logger the logger of the calling class
     * @param event the event name, in snake case
     * @param pairs keys and values, alternating
     */
    public static void info(Logger logger, String event, Object... pairs) {
        if (logger.isInfoEnabled()) {
            write(logger, Logger.Level.INFO, event, pairs);
        }
    }

    /**
     * Logs an event that may need an operator's attention.
     *
     * @param logger the logger of the calling class
     * @param event the event name, in snake case
     * @param pairs keys and values, alternating
     */
    public static void warn(Logger logger, String event, Object... pairs) {
        write(logger, Logger.Level.WARN, event, pairs);
    }

    private static void write(Logger logger, Logger.Level level, String event, Object... pairs) {
        int suppressed = RATE_LIMITER.tryAcquire(event, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        if (suppressed >= 0) {
            logger.log(
                    level,
                    suppressed == 0 ? format(event, pairs) : format(event, pairs) + " suppressed_lines=" + suppressed);
        }
    }

    /**
     * Formats an event as a log line. Values that contain spaces, quotes or equals signs are quoted.
     *
     * @param event the event name
     * @param pairs keys and values, alternating
     * @return the line, without a line separator
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
