package org.pimentovale.kernel.batch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Keeps account of the room that results take at the endpoints which made them.
 *
 * <p>Invariant: the bytes taken at an endpoint are those of its calls in progress and of its results that were neither
 * released nor have passed their retention. Not thread safe.
 */
public final class ResultCapacity {
    private static final long BYTES_PER_MEGABYTE = 1_000_000;

    private final Map<String, Long> usedBytes = new HashMap<>();
    private final Map<String, Result> results = new HashMap<>();

    private record Result(String endpoint, long bytes, long expiresMs) {}

    /**
     * Returns the room that is left at an endpoint.
     *
     * @param endpoint the endpoint
     * @param capacityMegabytes its whole room
     * @return bytes
     */
    public long availableBytes(String endpoint, double capacityMegabytes) {
        return (long) (capacityMegabytes * BYTES_PER_MEGABYTE) - usedBytes.getOrDefault(endpoint, 0L);
    }

    /**
     * Takes room for the results of a call.
     *
     * @param endpoint the endpoint
     * @param bytes the size of all results
     */
    public void reserve(String endpoint, long bytes) {
        usedBytes.merge(endpoint, bytes, Long::sum);
    }

    /**
     * Gives back room that {@link #reserve} took and no result uses.
     *
     * @param endpoint the endpoint
     * @param bytes the size
     */
    public void releaseReservation(String endpoint, long bytes) {
        usedBytes.computeIfPresent(endpoint, (unused, before) -> before - bytes <= 0 ? null : before - bytes);
    }

    /**
     * Records a result, whose room was reserved before.
     *
     * @param handle names the result
     * @param endpoint the endpoint that keeps it
     * @param bytes its size
     * @param expiresMs when the endpoint drops it, in milliseconds
     */
    public void recordResult(String handle, String endpoint, long bytes, long expiresMs) {
        results.put(handle, new Result(endpoint, bytes, expiresMs));
    }

    /**
     * Releases a result.
     *
     * @param handle names the result
     */
    public void releaseResult(String handle) {
        Result result = results.remove(handle);
        if (result != null) {
            releaseReservation(result.endpoint(), result.bytes());
        }
    }

    /**
     * Releases the results that their endpoints have dropped.
     *
     * @param nowMs the time in milliseconds
     */
    public void releaseExpired(long nowMs) {
        Iterator<Result> remaining = results.values().iterator();
        while (remaining.hasNext()) {
            Result result = remaining.next();
            if (nowMs >= result.expiresMs()) {
                remaining.remove();
                releaseReservation(result.endpoint(), result.bytes());
            }
        }
    }
}
