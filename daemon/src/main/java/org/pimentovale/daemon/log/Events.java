package org.pimentovale.daemon.log;

import org.jboss.logging.Logger;

/** Writes events as one line of key=value pairs each. Stateless and thread safe. */
public final class Events {
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
            logger.info(line(event, pairs));
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
        logger.warn(line(event, pairs));
    }

    /**
     * Formats an event.
     *
     * @param event the event's name
     * @param pairs keys and values in turn
     * @return one line
     */
    static String line(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int position = 0; position + 1 < pairs.length; position += 2) {
            line.append(' ').append(pairs[position]).append('=').append(quoted(String.valueOf(pairs[position + 1])));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(code -> code <= ' ' || code == '"' || code == '=');
        return plain
                ? value
                : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("[\\r\\n]+", " ") + '"';
    }
}
