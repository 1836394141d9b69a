package org.pimentovale.kernel.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.endpoint.Warmth;
import org.pimentovale.kernel.endpoint.WarmthTable;
import org.pimentovale.kernel.routing.Candidate;
import org.pimentovale.kernel.routing.PrefixTable;
import org.pimentovale.kernel.routing.RoutingPolicy;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Urgency;

/**
 * Assigns attempts to the endpoints of one pool, queues those that have to wait, and refuses early those that cannot
 * meet their deadline.
 *
 * <p>Invariants: an endpoint never runs more requests of this instance than its limit or its cold permits allow; no
 * endpoint that is withdrawn, leaving or unverified gets a grant; each submitted attempt is granted, refused or
 * cancelled exactly once. Thread safe; its lock precedes the lock of the warmth table, and listeners are called after
 * its release.
 */
public final class PoolScheduler {
    private static final int PREFIX_CAPACITY = 10_000;

    private final RoutingPolicy policy;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final WarmthTable warmth;
    private final int queueLimit;
    private final WaitQueue queue = new WaitQueue();
    private final PrefixTable prefixes = new PrefixTable(PREFIX_CAPACITY);
    private final Map<String, EndpointLoadState> endpoints = new LinkedHashMap<>();
    private Pool pool;
    private SchedulerContext context;
    private Set<String> subset = Set.of();
    private final ServiceTimes serviceTimes;
    private int inFlight;
    private long choiceCount;
    private long lastSubmittedMs = Long.MIN_VALUE / 2;

    /**
     * Creates the scheduler of a pool.
     *
     * @param pool the pool's configuration
     * @param context withdrawn zones, leaving endpoints and instances
     * @param policy chooses among the endpoints with free capacity
     * @param clock the monotonic clock
     * @param random a random generator used by this scheduler only
     * @param warmth endpoint warmth and warm-up leases
     * @param queueLimit maximum number of waiting attempts
     */
    public PoolScheduler(
            Pool pool,
            SchedulerContext context,
            RoutingPolicy policy,
            MonotonicClock clock,
            RandomGenerator random,
            WarmthTable warmth,
            int queueLimit) {
        this.policy = policy;
        this.clock = clock;
        this.random = random;
        this.warmth = warmth;
        this.queueLimit = queueLimit;
        this.serviceTimes = new ServiceTimes(pool.expectedMs());
        apply(pool, context);
    }

    /**
     * Applies a new configuration or context and processes the queue.
     *
     * @param newPool the pool's new configuration
     * @param newContext the new context
     */
    public void apply(Pool newPool, SchedulerContext newContext) {
        synchronized (this) {
            pool = newPool;
            context = newContext;
            Map<String, Endpoint> current = new LinkedHashMap<>();
            newPool.endpoints().forEach(endpoint -> current.put(endpoint.address(), endpoint));
            // The state of a removed endpoint with running attempts is kept until a later change, for their releases.
            endpoints
                    .values()
                    .removeIf(state -> !state.endpoint()
                                    .equals(current.get(state.endpoint().address()))
                            && state.inFlight() == 0);
            current.forEach((address, endpoint) ->
                    endpoints.computeIfAbsent(address, unused -> new EndpointLoadState(endpoint, pool.expectedMs())));
            subset = EndpointSubset.choose(newPool, newContext);
        }
        processQueue();
    }

    /**
     * Submits an attempt. The listener is called exactly once unless the ticket is cancelled, possibly before this
     * method returns.
     *
     * @param attempt the attempt
     * @param listener receives the grant or the refusal
     * @return the ticket by which the attempt can be cancelled while it waits
     */
    public Ticket submit(StageAttempt attempt, GrantListener listener) {
        Ticket ticket = new Ticket(attempt, listener);
        List<Runnable> notifications = new ArrayList<>();
        synchronized (this) {
            long nowMs = clock.nowMs();
            lastSubmittedMs = nowMs;
            if (subset.isEmpty()) {
                refuse(ticket, ErrorCode.NO_ENDPOINT, notifications);
            } else if (cannotMeetDeadline(attempt, nowMs)) {
                refuse(ticket, ErrorCode.DEADLINE_UNREACHABLE, notifications);
            } else if (queue.size() > 0 || !tryGrant(ticket, nowMs, notifications)) {
                enqueue(ticket, nowMs, notifications);
                serveQueue(nowMs, notifications);
            }
        }
        notifications.forEach(Runnable::run);
        return ticket;
    }

    /**
     * Tells whether even a fast call, started now, would finish late. As long as endpoints are free, it is enough that
     * a fast call can finish in time.
     */
    private boolean cannotMeetDeadline(StageAttempt attempt, long nowMs) {
        return nowMs + serviceTimes.fastMs() + attempt.laterStagesMs() > attempt.deadlineAtMs();
    }

    /**
     * Tells whether a call is likely to finish late. While others wait, it would take the place of one that can finish
     * in time.
     */
    private boolean isLikelyLate(StageAttempt attempt, long nowMs, long waitMs) {
        return nowMs + waitMs + serviceTimes.slowMs() + attempt.laterStagesMs() > attempt.deadlineAtMs();
    }

    private void enqueue(Ticket ticket, long nowMs, List<Runnable> notifications) {
        long waitMs = waitMs(queue.countAhead(ticket.attempt()));
        if (isLikelyLate(ticket.attempt(), nowMs, waitMs)) {
            refuse(ticket, ErrorCode.DEADLINE_UNREACHABLE, notifications);
            return;
        }
        queue.add(ticket);
        if (queue.size() > queueLimit) {
            queue.evictionCandidate().ifPresent(evicted -> {
                queue.remove(evicted);
                refuse(evicted, ErrorCode.OVERLOADED, notifications);
            });
        }
    }

    private long waitMs(int ahead) {
        return (long) (ahead * serviceTimes.meanMs() / Math.max(1, inFlight));
    }

    private void refuse(Ticket ticket, ErrorCode code, List<Runnable> notifications) {
        long retryAfterMs = Math.max(100, waitMs(queue.size()));
        notifications.add(() -> ticket.listener().refused(code, retryAfterMs));
    }

    private boolean tryGrant(Ticket ticket, long nowMs, List<Runnable> notifications) {
        StageAttempt attempt = ticket.attempt();
        List<Candidate> candidates = candidates(attempt, nowMs, true);
        if (candidates.isEmpty()) {
            candidates = candidates(attempt, nowMs, false);
        }
        if (candidates.isEmpty()) {
            return false;
        }
        long slackMs = (long) (attempt.deadlineAtMs() - nowMs - serviceTimes.meanMs() - attempt.laterStagesMs());
        Candidate chosen = policy.choose(candidates, choiceCount++, slackMs, random);
        EndpointLoadState state = endpoints.get(chosen.address());
        state.recordGrant(attempt.suspect());
        inFlight++;
        prefixes.add(attempt.prefix(), chosen.address());
        double load = (double) chosen.totalInFlight() / chosen.limit();
        Grant grant = new Grant(attempt, state.endpoint(), chosen.cold(), load, nowMs);
        notifications.add(() -> ticket.listener().granted(grant));
        return true;
    }

    private List<Candidate> candidates(StageAttempt attempt, long nowMs, boolean skipExcluded) {
        List<Candidate> candidates = new ArrayList<>();
        for (EndpointLoadState state : endpoints.values()) {
            String address = state.endpoint().address();
            if (!subset.contains(address)
                    || state.suspended(nowMs)
                    || (skipExcluded && attempt.excluded().contains(address))
                    || (attempt.suspect() && state.runsSuspect())) {
                continue;
            }
            Warmth endpointWarmth = effectiveWarmth(address);
            boolean available = endpointWarmth == Warmth.COLD
                    ? state.inFlight() < warmth.coldPermits(address, nowMs)
                    : state.hasCapacity(pool.limit(), context.instanceCount(), nowMs);
            if (endpointWarmth != Warmth.UNVERIFIED && available) {
                candidates.add(candidate(state, attempt, endpointWarmth, nowMs));
            }
        }
        return candidates;
    }

    /** Returns the warmth of an endpoint; it needs no warm-up if its cold limit is not below its normal limit. */
    private Warmth effectiveWarmth(String address) {
        Warmth endpointWarmth = warmth.warmth(address);
        return endpointWarmth == Warmth.COLD && pool.coldLimit() >= pool.limit() ? Warmth.WARM : endpointWarmth;
    }

    private Candidate candidate(EndpointLoadState state, StageAttempt attempt, Warmth endpointWarmth, long nowMs) {
        String address = state.endpoint().address();
        return new Candidate(
                address,
                state.endpoint().zone().equals(context.instanceZone()),
                state.inFlight(),
                state.totalInFlight(nowMs),
                pool.limit(),
                state.unloadedServiceMs(serviceTimes.unloadedMs(), nowMs),
                prefixes.holds(attempt.prefix(), address),
                endpointWarmth == Warmth.COLD);
    }

    private void serveQueue(long nowMs, List<Runnable> notifications) {
        for (Ticket late : queue.removeAll(ticket -> isLikelyLate(ticket.attempt(), nowMs, 0))) {
            refuse(late, ErrorCode.DEADLINE_UNREACHABLE, notifications);
        }
        if (subset.isEmpty()) {
            queue.removeAll(ticket -> true).forEach(ticket -> refuse(ticket, ErrorCode.NO_ENDPOINT, notifications));
        }
        boolean granted = true;
        while (granted) {
            granted =
                    queue.poll(ticket -> tryGrant(ticket, nowMs, notifications)).isPresent();
        }
    }

    /**
     * Checks whether a grant may still be used. Must be called immediately before the attempt is sent, since zones,
     * endpoints and leases may have changed, or the deadline passed, since the grant.
     *
     * @param grant a grant not yet released
     * @return empty if the grant may be used, otherwise the reason
     */
    public synchronized Optional<ErrorCode> revalidate(Grant grant) {
        long nowMs = clock.nowMs();
        String address = grant.endpoint().address();
        if (nowMs >= grant.attempt().deadlineAtMs()) {
            return Optional.of(ErrorCode.DEADLINE_EXCEEDED);
        }
        Warmth endpointWarmth = effectiveWarmth(address);
        EndpointLoadState state = endpoints.get(address);
        boolean permitted = subset.contains(address)
                && endpointWarmth != Warmth.UNVERIFIED
                && (endpointWarmth == Warmth.WARM
                        || (grant.cold() && state.inFlight() <= warmth.coldPermits(address, nowMs)));
        return permitted ? Optional.empty() : Optional.of(ErrorCode.NO_ENDPOINT);
    }

    /**
     * Releases a grant, records the result of its attempt and processes the queue.
     *
     * @param grant a grant not yet released
     * @param result the result of the attempt
     */
    public void release(Grant grant, CallResult result) {
        List<Runnable> notifications = new ArrayList<>();
        synchronized (this) {
            long nowMs = clock.nowMs();
            inFlight--;
            EndpointLoadState state = endpoints.get(grant.endpoint().address());
            if (state != null) {
                state.recordRelease(grant, result, nowMs);
            }
            if (result.completed()) {
                serviceTimes.add(result.serviceMs(), grant.load());
            }
            serveQueue(nowMs, notifications);
        }
        notifications.forEach(Runnable::run);
    }

    /** Refuses all waiting and later attempts, since the pool was removed; running calls may finish. */
    public void close() {
        synchronized (this) {
            subset = Set.of();
        }
        processQueue();
    }

    /** Refuses waiting attempts that are likely to be late, and grants those for which an endpoint has capacity. */
    public void processQueue() {
        List<Runnable> notifications = new ArrayList<>();
        synchronized (this) {
            serveQueue(clock.nowMs(), notifications);
        }
        notifications.forEach(Runnable::run);
    }

    /**
     * Removes a waiting attempt from the queue, for instance after its caller disconnected.
     *
     * @param ticket the ticket of the attempt
     * @return true if it was still waiting; its listener is not called then
     */
    public synchronized boolean cancel(Ticket ticket) {
        return queue.remove(ticket);
    }

    /**
     * Records an endpoint's load report. An unknown address is ignored.
     *
     * @param address the endpoint's host and port
     * @param totalInFlight number of requests that the endpoint runs, from all instances
     */
    public synchronized void recordLoad(String address, int totalInFlight) {
        EndpointLoadState state = endpoints.get(address);
        if (state != null) {
            state.recordLoad(totalInFlight, clock.nowMs());
        }
    }

    /**
     * Discards the prefixes recorded for an endpoint, since it has restarted and lost its cache.
     *
     * @param address the endpoint's host and port
     */
    public synchronized void clearPrefixes(String address) {
        prefixes.removeAddress(address);
    }

    /**
     * Returns the number of in-flight requests of this instance on an endpoint.
     *
     * @param address the endpoint's host and port
     * @return the number, zero for an unknown address
     */
    public synchronized int inFlight(String address) {
        EndpointLoadState state = endpoints.get(address);
        return state == null ? 0 : state.inFlight();
    }

    /**
     * Records that the attempt of a grant was sent. Must be called after the request was written.
     *
     * @param grant a grant not yet released
     */
    public synchronized void recordSent(Grant grant) {
        EndpointLoadState state = endpoints.get(grant.endpoint().address());
        if (state != null) {
            state.recordSent(grant, clock.nowMs());
        }
    }

    /**
     * Returns the number of in-flight requests of this instance on an endpoint that were sent before the given time.
     *
     * @param address the endpoint's host and port
     * @param timeMs a time on the monotonic clock, in milliseconds
     * @return the number, zero for an unknown address
     */
    public synchronized int sentBefore(String address, long timeMs) {
        EndpointLoadState state = endpoints.get(address);
        return state == null ? 0 : state.sentBefore(timeMs);
    }

    /**
     * Tells whether this instance has demand for the pool.
     *
     * @param periodMs period within which an earlier submission counts as demand, in milliseconds
     * @return whether attempts are waiting or in flight, or one was submitted within the period
     */
    public synchronized boolean hasDemand(long periodMs) {
        return queue.size() > 0 || inFlight > 0 || clock.nowMs() - lastSubmittedMs <= periodMs;
    }

    /**
     * Estimates the minimum latency of an attempt submitted now: the time of a fast call if none is waiting, otherwise
     * the expected queueing delay plus the time of a slow call.
     *
     * @param workspace the customer's workspace
     * @param urgency the urgency class of the request
     * @return the estimate in milliseconds
     */
    public synchronized long minimumLatencyMs(String workspace, Urgency urgency) {
        StageAttempt hypothetical = new StageAttempt("", workspace, urgency, 0, 0, 0, Set.of(), false);
        return queue.size() == 0
                ? (long) serviceTimes.fastMs()
                : waitMs(queue.countAhead(hypothetical)) + (long) serviceTimes.slowMs();
    }

    /**
     * Returns the active configuration of the pool.
     *
     * @return the pool
     */
    public synchronized Pool pool() {
        return pool;
    }

    /**
     * Returns the endpoints of the pool that this instance uses.
     *
     * @return their addresses; empty after {@link #close}
     */
    public synchronized Set<String> subset() {
        return subset;
    }

    /**
     * Returns the number of waiting attempts.
     *
     * @return the length of the queue
     */
    public synchronized int queueLength() {
        return queue.size();
    }

    /**
     * Describes the endpoints of the pool for operators.
     *
     * @return one view per endpoint
     */
    public synchronized List<EndpointView> describeEndpoints() {
        long nowMs = clock.nowMs();
        return endpoints.values().stream()
                .map(state -> new EndpointView(
                        pool.name(),
                        state.endpoint().address(),
                        state.endpoint().zone(),
                        EndpointView.describeState(
                                state, effectiveWarmth(state.endpoint().address()), context, nowMs),
                        state.inFlight(),
                        state.totalInFlight(nowMs),
                        Math.round(state.unloadedServiceMs(serviceTimes.unloadedMs(), nowMs))))
                .toList();
    }
}
