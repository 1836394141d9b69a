package org.pimentovale.kernel.directory;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The load that an endpoint reports with a response. Immutable and thread safe.
 *
 * @param running the number of running calls, from all instances
 * @param waiting the number of calls that wait for a slot
 * @param slots the number of calls that run concurrently, empty if it is not reported
 * @param slowdown how long work takes on the endpoint's machine at the moment, relative to the usual time; empty if it
 *     is not reported
 */
public record LoadReport(int running, int waiting, OptionalInt slots, OptionalDouble slowdown) {
    /**
     * Returns the number of calls at the endpoint.
     *
     * @return running and waiting calls
     */
    public int calls() {
        return running + waiting;
    }
}
