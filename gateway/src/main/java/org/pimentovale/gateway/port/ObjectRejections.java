package org.pimentovale.gateway.port;

import java.util.Locale;

/** Receives the stored objects whose content is not used. Not thread safe; called on one event loop. */
@FunctionalInterface
public interface ObjectRejections {
    /** Why an object's content is not used. */
    enum Reason {
        /** The content is not JSON, or exceeds the limits on nesting, numbers and names. */
        UNREADABLE,
        /** The object has no usable name or revision. */
        UNIDENTIFIED,
        /** The content is longer than any that its kind uses, or there is no memory for it. */
        TOO_LARGE,
        /** A field is missing, of another type or out of its range. */
        INVALID;

        /**
         * Returns the reason as it appears in metrics and logs.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Records an object.
     *
     * @param kind the object's kind
     * @param reason why its content is not used
     * @param name the object's name, empty if it has none
     * @param detail what is wrong with it
     */
    void rejected(ObjectKind kind, Reason reason, String name, String detail);
}
