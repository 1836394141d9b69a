package org.pimentovale.kernel.stream;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * What a gateway knew of the builds and routes of the recent past, stored so that it outlasts the loss of all gateways.
 *
 * <p>Together with all changes since its revisions, it tells a gateway that has just started at which builds streams
 * may have begun before. Immutable and thread safe.
 *
 * @param endpoints the revision up to which the changes of endpoints were known
 * @param configuration the revision up to which the changes of the configuration were known
 * @param coveredMs the time before these revisions over which all changes were known and no route changed, in
 *     milliseconds
 * @param builds the builds that were listed in that time, by service
 */
public record HistoryCheckpoint(
        StoreRevision endpoints, StoreRevision configuration, long coveredMs, Map<String, List<String>> builds) {
    /** The shortest time that is worth storing, in milliseconds. */
    public static final long MIN_COVERED_MS = 10_000;

    /** Copies the map. */
    public HistoryCheckpoint {
        builds = Map.copyOf(builds);
    }

    /**
     * Tells whether endpoints that were listed since the checkpoint run only builds that it names.
     *
     * @param changed all entries that were written or removed since
     * @return false if a stream may have begun at a build that is not named
     */
    public boolean explains(Collection<EndpointRecord> changed) {
        return changed.stream().allMatch(entry -> builds.getOrDefault(entry.service(), List.of())
                .contains(entry.build()));
    }
}
