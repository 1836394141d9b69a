package org.pimentovale.gateway.feed;

import java.util.Optional;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectRejections;
import org.pimentovale.log.Events;

/**
 * Counts and logs the stored objects whose content is not used, and decodes the others.
 *
 * <p>Invariant: decoding never throws, so that one object cannot end a feed. Thread safe.
 */
public final class RejectedObjects implements ObjectRejections {
    private static final Logger LOG = Logger.getLogger(RejectedObjects.class);
    private static final int MAX_LOGGED_CHARACTERS = 200;

    private final GatewayMetrics metrics;

    /**
     * Creates a receiver of rejected objects.
     *
     * @param metrics counts the objects
     */
    public RejectedObjects(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void rejected(ObjectKind kind, Reason reason, String name, String detail) {
        metrics.recordRejectedObject(kind.name(), reason.label());
        Events.warn(
                LOG,
                "object_rejected",
                "kind",
                kind,
                "name",
                shorten(name),
                "reason",
                reason.label(),
                "detail",
                shorten(detail));
    }

    private static String shorten(String text) {
        return text.length() <= MAX_LOGGED_CHARACTERS ? text : text.substring(0, MAX_LOGGED_CHARACTERS);
    }

    /**
     * Decodes an object.
     *
     * @param kind the object's kind
     * @param entry the object
     * @param reader decodes it, and throws if that is not possible
     * @return what was decoded, empty if the object is rejected
     */
    <T> Optional<T> decode(ObjectKind kind, ObjectEntry entry, Function<ObjectEntry, T> reader) {
        // The content was rejected when the store's answer was read.
        if (entry.value().isRejected()) {
            return Optional.empty();
        }
        try {
            return Optional.of(reader.apply(entry));
        } catch (RuntimeException invalid) {
            rejected(
                    kind,
                    Reason.INVALID,
                    entry.name(),
                    ServingException.of(invalid).getMessage());
            return Optional.empty();
        }
    }
}
