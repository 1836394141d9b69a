package org.pimentovale.log;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.jboss.logmanager.handlers.AsyncHandler;

/**
 * Configures logging to standard output, one line for each record. Must be installed before the first logger is
 * created.
 *
 * <p>Invariant: logging never blocks the caller on standard output; lines are discarded while the queue is full.
 */
public final class LoggingSetup {
    private static final int QUEUE_CAPACITY_LINES = 4_096;

    private LoggingSetup() {}

    /** Writes each record to standard output and flushes it. Thread safe, as its superclass. */
    private static final class OutputHandler extends StreamHandler {
        private OutputHandler() {
            super(System.out, new LineFormatter());
            setLevel(Level.ALL);
        }

        @Override
        public synchronized void publish(LogRecord logRecord) {
            super.publish(logRecord);
            flush();
        }
    }

    /** Formats a record as time, level, source and message. Stateless and thread safe. */
    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord logRecord) {
            String name = String.valueOf(logRecord.getLoggerName());
            return "time=" + Instant.ofEpochMilli(logRecord.getMillis()) + " level="
                    + logRecord.getLevel().getName() + " source=" + name.substring(name.lastIndexOf('.') + 1) + " "
                    + formatMessage(logRecord) + System.lineSeparator();
        }
    }

    /**
     * Installs the log manager and a single asynchronous handler.
     *
     * @param level the minimum level of this project's loggers, such as {@code INFO}; that of all others is {@code
     *     WARNING}
     */
    public static void install(String level) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jdk");
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        AsyncHandler queue = new AsyncHandler(QUEUE_CAPACITY_LINES);
        queue.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        queue.addHandler(new OutputHandler());
        root.addHandler(queue);
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.pimentovale").setLevel(Level.parse(level));
    }
}
