package org.pimentovale.kernel.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The notices of endpoints, by identifier. They outlast the entries of their endpoints.
 *
 * <p>Invariant: the table holds the notices of the latest incarnation that sent one. Not thread safe; guarded by the
 * event loop of its directory.
 */
final class EndpointNoticeTable {
    private static final long RETENTION_MS = 600_000;

    private final Map<String, EndpointNotices> notices = new HashMap<>();

    /** Returns the notices that apply to an entry, empty if its incarnation has sent none. */
    Optional<EndpointNotices> find(EndpointRecord entry) {
        return Optional.ofNullable(notices.get(entry.identifier())).filter(notice -> notice.appliesTo(entry));
    }

    /** Returns the notices of an incarnation to add to them, empty if a later incarnation has sent one. */
    Optional<EndpointNotices> open(EndpointRecord incarnation) {
        EndpointNotices known = notices.get(incarnation.identifier());
        if (known != null && known.isLaterThan(incarnation)) {
            return Optional.empty();
        }
        if (known == null || !known.appliesTo(incarnation)) {
            known = new EndpointNotices(incarnation);
            notices.put(incarnation.identifier(), known);
        }
        return Optional.of(known);
    }

    /** Removes the old notices of endpoints that are not listed any more. */
    void removeOld(Predicate<String> listed, long nowMs) {
        notices.entrySet()
                .removeIf(entry ->
                        !listed.test(entry.getKey()) && nowMs - entry.getValue().recordedAtMs() > RETENTION_MS);
    }
}
