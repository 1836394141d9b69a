package org.pimentovale.kernel.batch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tracks the capacity that stage results use at the endpoints that store them.
 *
 * <p>Invariant: the used bytes of an endpoint are the reservations of its calls in progress plus its results that were
 * neither released nor have expired. Not thread safe.
 */
public final class ResultCapacity {
    private static final long BYTES_PER_MEGABYTE = 1_000_000;

    private final Map<String, Long> usedBytes = new HashMap<>();
    private final Map<String, Result> results = new HashMap<>();

    private record Result(String endpoint, long bytes, long expiresMs) {}

    /**
     * Returns the result capacity that is still available at an endpoint.
     *
     * @param endpoint the endpoint's identifier
     * @param capacityMegabytes the endpoint's total result capacity, in units of 10^6 bytes
     * @return the available bytes, negative if more is in use than the given capacity
     */
    public long availableBytes(String endpoint, double capacityMegabytes) {
        return (long) (capacityMegabytes * BYTES_PER_MEGABYTE) - usedBytes.getOrDefault(endpoint, 0L);
    }

    /**
     * Reserves capacity for the results of a call.
     *
     * @param endpoint the endpoint's identifier
     * @param bytes the total size of the results
     */
    public void reserve(String endpoint, long bytes) {
        usedBytes.merge(endpoint, bytes, Long::sum);
    }

    /**
     * Releases capacity that was reserved by {@link #reserve} and is not used by a recorded result.
     *
     * @param endpoint the endpoint's identifier
     * @param bytes the number of bytes to release
     */
    public void releaseReservation(String endpoint, long bytes) {
        usedBytes.computeIfPresent(endpoint, (unused, before) -> before - bytes <= 0 ? null : before - bytes);
    }

    /**
     * Records a result whose capacity was reserved before.
     *
     * @param handle the identifier of the result
     * @param endpoint the identifier of the endpoint that stores it
     * @param bytes the size of the result
     * @param expiresMs the time at which the endpoint deletes the result, in milliseconds
     */
    public void recordResult(String handle, String endpoint, long bytes, long expiresMs) {
        results.put(handle, new Result(endpoint, bytes, expiresMs));
    }

    /**
     * Releases the capacity of a result. Does nothing if the result is unknown or already released.
     *
     * @param handle the identifier of the result
     */
    public void releaseResult(String handle) {
        Result result = results.remove(handle);
        if (result != null) {
            releaseReservation(result.endpoint(), result.bytes());
        }
    }

    /**
     * Releases the capacity of all expired results.
     *
     * @param nowMs the current time in milliseconds
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
