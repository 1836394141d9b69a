package org.pimentovale.gateway.port;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/** The kinds of stored objects that a gateway watches. Immutable and thread safe. */
public enum ObjectKind {
    /** The configuration, one object. */
    CONFIGURATION(Integer.MAX_VALUE),
    /** The endpoints, one object each. */
    ENDPOINTS(ObjectKind.RECORD_BYTES),
    /** The availability zones that receive no new work, one object each, of which only the names count. */
    WITHDRAWN_ZONES(0),
    /** The gateway instances, one object each; every instance writes its own. */
    INSTANCES(ObjectKind.RECORD_BYTES),
    /** The quarantined requests and prompt parts, one object each. */
    QUARANTINES(ObjectKind.RECORD_BYTES),
    /** The orders for roll-outs, one object for each service; watched only if the settings name their bounds. */
    ROLLOUTS(ObjectKind.RECORD_BYTES);

    /** The length of a record with some fields and short lists, in bytes; longer content is of another writer. */
    private static final int RECORD_BYTES = 64 * 1_024;

    /** The kinds that every gateway watches. */
    public static final Set<ObjectKind> ALWAYS_WATCHED =
            Collections.unmodifiableSet(EnumSet.complementOf(EnumSet.of(ROLLOUTS)));

    private final int maxContentBytes;

    ObjectKind(int maxContentBytes) {
        this.maxContentBytes = maxContentBytes;
    }

    /**
     * Returns the length up to which the content of an object is used.
     *
     * @return the length of its JSON text in bytes, 0 if only the names of the objects count
     */
    public int maxContentBytes() {
        return maxContentBytes;
    }

    /**
     * Tells whether the kind consists of one object, so that its content needs no share of the memory of many.
     *
     * @return whether it is the configuration
     */
    public boolean isSingleObject() {
        return this == CONFIGURATION;
    }
}
