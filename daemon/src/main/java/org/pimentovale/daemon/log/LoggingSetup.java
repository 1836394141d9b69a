package org.pimentovale.daemon.log;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends all events to standard error, one line each. To be installed before the first logger is made. */
public final class LoggingSetup {
    private LoggingSetup() {}

    /** Formats a record as time, level, logger and the event's pairs. Stateless and thread safe. */
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
     * Installs the log manager and its only handler.
     *
     * @param level the lowest level to write, such as {@code INFO}
     */
    public static void install(String level) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jdk");
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new LineFormatter());
        console.setLevel(Level.ALL);
        root.addHandler(console);
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.pimentovale").setLevel(Level.parse(level));
    }
}
