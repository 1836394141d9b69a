package org.pimentovale.kernel.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams, by the identifier of the attempt that began them.
 *
 * <p>Invariants: an origin is kept for {@link #RETENTION_MS}, but at most {@link #CAPACITY} are kept. Not thread safe;
 * used on one event loop.
 */
public final class StreamOriginTable {
    /** How long an origin is kept, in milliseconds; longer than a caller waits for a stream over all attempts. */
    public static final long RETENTION_MS = 60_000;

    /** The maximum number of origins. */
    public static final int CAPACITY = 16_384;

    private final Map<String, Entry> origins = new LinkedHashMap<>();

    private record Entry(StreamOrigin origin, boolean relayed, long recordedMs) {}

    /**
     * Records the origin of a stream that another gateway relays, unless a later dispatch of the same attempt is known.
     *
     * @param attempt the identifier of the attempt that begins the stream
     * @param origin the origin
     * @param nowMs the current time in milliseconds
     */
    public void record(String attempt, StreamOrigin origin, long nowMs) {
        record(attempt, origin, false, nowMs);
    }

    /**
     * Records the origin of a stream that this gateway relays, which knows all dispatches of the attempt.
     *
     * @param attempt the identifier of the attempt that begins the stream
     * @param origin the origin
     * @param nowMs the current time in milliseconds
     */
    public void recordRelayed(String attempt, StreamOrigin origin, long nowMs) {
        record(attempt, origin, true, nowMs);
    }

    private void record(String attempt, StreamOrigin origin, boolean relayed, long nowMs) {
        Entry known = origins.remove(attempt);
        StreamOrigin latest = known == null ? origin : known.origin().laterOf(origin);
        origins.put(attempt, new Entry(latest, relayed, nowMs));
        trim(nowMs);
    }

    private void trim(long nowMs) {
        Iterator<Entry> oldest = origins.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = oldest.next().recordedMs() + RETENTION_MS <= nowMs;
            if (!expired && origins.size() <= CAPACITY) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Finds the origin of a stream.
     *
     * @param attempt the identifier of the attempt that began it
     * @return the origin, empty if it is not known here
     */
    public Optional<StreamOrigin> find(String attempt) {
        return Optional.ofNullable(origins.get(attempt)).map(Entry::origin);
    }

    /**
     * Tells whether this gateway relayed the beginning of a stream.
     *
     * @param attempt the identifier of the attempt that began it
     * @return false if another gateway did, or the attempt is not known here
     */
    public boolean isRelayed(String attempt) {
        return Optional.ofNullable(origins.get(attempt)).map(Entry::relayed).orElse(false);
    }
}
