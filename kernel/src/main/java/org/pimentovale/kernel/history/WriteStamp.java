package org.pimentovale.kernel.history;

import java.util.Comparator;

/**
 * The order in which the writer of an object wrote it, independent of the store's revisions.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation increases with each start of the writer; zero if the writer never restarts or does not tell
 * @param sequence increases with each write within an incarnation
 */
public record WriteStamp(long incarnation, long sequence) implements Comparable<WriteStamp> {
    private static final Comparator<WriteStamp> ORDER =
            Comparator.comparingLong(WriteStamp::incarnation).thenComparingLong(WriteStamp::sequence);

    @Override
    public int compareTo(WriteStamp other) {
        return ORDER.compare(this, other);
    }
}
