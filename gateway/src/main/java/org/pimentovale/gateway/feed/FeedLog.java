package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.log.Events;

/** Writes the log lines of a feed, which all name its kind and a revision. Thread safe. */
final class FeedLog {
    private final Logger logger;
    private final ObjectKind kind;

    FeedLog(Logger logger, ObjectKind kind) {
        this.logger = logger;
        this.kind = kind;
    }

    /** Logs an event with the revision that it concerns, and further names and values in turn. */
    void info(String event, StoreRevision revision, Object... details) {
        Events.info(logger, event, line(revision, details));
    }

    /** Logs an event that an operator should look at. */
    void warn(String event, StoreRevision revision, Object... details) {
        Events.warn(logger, event, line(revision, details));
    }

    private Object[] line(StoreRevision revision, Object... details) {
        List<Object> line =
                new ArrayList<>(List.of("kind", kind, "era", revision.era(), "revision", revision.revision()));
        line.addAll(List.of(details));
        return line.toArray();
    }
}
