package org.pimentovale.kernel.limit;

import java.util.Arrays;
import java.util.Collection;

/**
 * Decides which objects of a kind keep their content when all of it exceeds a memory limit.
 *
 * <p>Answers any number of large objects of another writer beside small ones that are needed: the smallest keep their
 * content, the largest lose it. Immutable and thread safe.
 *
 * @param capacityBytes the memory for the content of all objects together, in bytes
 */
public record ContentBudget(long capacityBytes) {
    /** The budget of a kind that needs none. */
    public static final ContentBudget UNLIMITED = new ContentBudget(Long.MAX_VALUE);

    /**
     * Tells whether content has to be dropped.
     *
     * @param totalBytes the length of all content
     * @return whether it exceeds the capacity
     */
    public boolean isExceededBy(long totalBytes) {
        return totalBytes > capacityBytes;
    }

    /**
     * Returns the length up to which objects keep their content, so that all that is kept fits.
     *
     * @param lengths the length of each object's content, in bytes
     * @return the length in bytes; objects of exactly this length keep their content as well
     */
    public int longestKept(Collection<Integer> lengths) {
        int[] ascending = lengths.stream().mapToInt(Integer::intValue).sorted().toArray();
        long totalBytes = Arrays.stream(ascending).asLongStream().sum();
        int kept = ascending.length;
        while (kept > 0 && isExceededBy(totalBytes)) {
            int longest = ascending[kept - 1];
            while (kept > 0 && ascending[kept - 1] == longest) {
                totalBytes -= longest;
                kept--;
            }
        }
        return kept == 0 ? 0 : ascending[kept - 1];
    }
}
