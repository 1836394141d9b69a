package org.pimentovale.kernel.hedge;

import java.util.List;
import java.util.Map;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * What one gateway has seen of a service since its last report; sent to the owner of the service's hedges. Each request
 * is in at most one report, also if that report is lost.
 *
 * @param gateway identifies the gateway's process
 * @param service the service's name
 * @param pool the pool for which the requests count, empty if the gateway knows none
 * @param sequence the number of the report, which increases with each report of the gateway
 * @param ownerTimeMs the least time that the owner's clock can show when the report is sent, see {@link HedgeGrant}
 * @param requests the requests that count for the pool, by age, at most {@link #MAX_ENTRIES} ages
 * @param unusedPermits the permits of the last grant that were not used and have expired
 * @param wantedPermits the slow requests that wait for a permit
 * @param slow the responses that turned out to be slow
 * @param onTime the responses that were not slow
 * @param durations the durations by group, at most {@link #MAX_ENTRIES}
 */
public record HedgeReport(
        String gateway,
        String service,
        String pool,
        long sequence,
        long ownerTimeMs,
        List<RequestCount> requests,
        int unusedPermits,
        int wantedPermits,
        int slow,
        int onTime,
        List<GroupDurations> durations) {
    /** The largest number of entries of each list. */
    public static final int MAX_ENTRIES = 64;

    private static final int MAX_COUNT = 1_000_000;
    private static final long MAX_AGE_MS = 86_400_000;

    /**
     * Requests of about the same age.
     *
     * @param ageMs the age of the oldest of them in milliseconds
     * @param count the number of requests
     */
    public record RequestCount(long ageMs, int count) {
        private boolean isValid() {
            return ageMs >= 0 && ageMs <= MAX_AGE_MS && isCount(count);
        }
    }

    /**
     * The durations of one group.
     *
     * @param route the route's name
     * @param sizeClass the class of the size of work
     * @param counts the durations by range, see {@link org.pimentovale.kernel.rollout.DurationHistogram}
     */
    public record GroupDurations(String route, int sizeClass, Map<Integer, Long> counts) {
        /** Copies the map, which must not contain null. */
        public GroupDurations {
            counts = Map.copyOf(counts);
        }

        private boolean isValid() {
            return sizeClass >= 0
                    && sizeClass <= Long.SIZE
                    && counts.values().stream().allMatch(count -> count >= 0 && count <= MAX_COUNT);
        }
    }

    /** Copies the lists, which must not contain null. */
    public HedgeReport {
        requests = List.copyOf(requests);
        durations = List.copyOf(durations);
    }

    /**
     * Checks what a peer has sent.
     *
     * @return this report
     * @throws ServingException if a number is out of range
     */
    public HedgeReport validated() {
        boolean valid = isCount(unusedPermits)
                && isCount(wantedPermits)
                && isCount(slow)
                && isCount(onTime)
                && requests.size() <= MAX_ENTRIES
                && durations.size() <= MAX_ENTRIES
                && requests.stream().allMatch(RequestCount::isValid)
                && durations.stream().allMatch(GroupDurations::isValid);
        if (!valid) {
            throw ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "a number of the report is out of range");
        }
        return this;
    }

    private static boolean isCount(int count) {
        return count >= 0 && count <= MAX_COUNT;
    }
}
