package org.pimentovale.kernel.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.endpoint.Warmth;
import org.pimentovale.kernel.endpoint.WarmthTable;
import org.pimentovale.kernel.membership.RendezvousHash;
import org.pimentovale.kernel.routing.Candidate;
import org.pimentovale.kernel.routing.PrefixTable;
import org.pimentovale.kernel.routing.RoutingPolicy;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Urgency;

/**
 * Decides which work goes to which endpoint of one pool, what waits, and what is refused early.
 *
 * <p>Invariants: an endpoint never runs more requests of this instance than its permits; no grant names an endpoint
 * that was withdrawn, leaving or unverified when it was given; each submitted work is granted, refused or cancelled
 * exactly once. Thread safe; its lock comes before the lock of the warmth table, and listeners are called outside it.
 */
public final class PoolScheduler {
    private static final int PREFIX_CAPACITY = 10_000;
    private static final int MIN_SUBSET_SIZE = 8;
    private static final double MEAN_SMOOTHING = 0.1;
    private static final double FAST_QUANTILE = 0.2;
    private static final double SLOW_QUANTILE = 0.95;

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
    private final QuantileEstimator fastServiceMs;
    private final QuantileEstimator slowServiceMs;
    private double meanServiceMs;
    private double poolBaseMs;
    private int inFlight;
    private long choiceCount;
    private long lastSubmittedMs = Long.MIN_VALUE / 2;

    /**
     * Creates the scheduler of a pool.
     *
     * @param pool the pool
     * @param context what lies beyond the pool
     * @param policy chooses among the free endpoints
     * @param clock the time
     * @param random the source of randomness, used by this scheduler alone
     * @param warmth what is known of the endpoints' warmth
     * @param queueLimit the largest number of waiting requests
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
        this.meanServiceMs = pool.expectedMs();
        this.poolBaseMs = pool.expectedMs();
        this.fastServiceMs = new QuantileEstimator(FAST_QUANTILE, pool.expectedMs());
        this.slowServiceMs = new QuantileEstimator(SLOW_QUANTILE, pool.expectedMs());
        apply(pool, context);
    }

    /**
     * Takes over another version of the pool or of its surroundings, and grants what may be granted then.
     *
     * @param newPool the pool
     * @param newContext what lies beyond it
     */
    public void apply(Pool newPool, SchedulerContext newContext) {
        synchronized (this) {
            pool = newPool;
            context = newContext;
            Map<String, Endpoint> current = new LinkedHashMap<>();
            newPool.endpoints().forEach(endpoint -> current.put(endpoint.address(), endpoint));
            // States with running work are kept, so that their releases find them.
            endpoints
                    .values()
                    .removeIf(state -> !state.endpoint()
                                    .equals(current.get(state.endpoint().address()))
                            && state.inFlight() == 0);
            current.forEach((address, endpoint) ->
                    endpoints.computeIfAbsent(address, unused -> new EndpointLoadState(endpoint, pool.expectedMs())));
            subset = chooseSubset();
        }
        processQueue();
    }

    /** Each instance uses a part of a large pool only, so that few instances share an endpoint's limit. */
    private Set<String> chooseSubset() {
        List<Endpoint> serving = pool.endpoints().stream()
                .filter(endpoint -> !context.withdrawnZones().contains(endpoint.zone()))
                .filter(endpoint -> !context.leavingAddresses().contains(endpoint.address()))
                .sorted(Comparator.comparingLong((Endpoint endpoint) ->
                                RendezvousHash.weight(endpoint.address(), context.instanceName()))
                        .reversed())
                .toList();
        int subsetSize = Math.max(MIN_SUBSET_SIZE, pool.limit() * serving.size() / (2 * context.instanceCount()));
        return Set.copyOf(serving.stream()
                .limit(Math.min(subsetSize, serving.size()))
                .map(Endpoint::address)
                .toList());
    }

    /**
     * Submits work. The listener is told at once or later, exactly once unless the ticket is cancelled.
     *
     * @param attempt the work
     * @param listener is told what becomes of it
     * @return the ticket by which waiting work can be cancelled
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

    /** With free endpoints a quick call may still make it. */
    private boolean cannotMeetDeadline(StageAttempt attempt, long nowMs) {
        return nowMs + fastServiceMs.value() + attempt.laterStagesMs() > attempt.deadlineAtMs();
    }

    /** While work waits, a call that will probably be late takes the place of one that will not. */
    private boolean isLikelyLate(StageAttempt attempt, long nowMs, long waitMs) {
        return nowMs + waitMs + slowServiceMs.value() + attempt.laterStagesMs() > attempt.deadlineAtMs();
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
        return (long) (ahead * meanServiceMs / Math.max(1, inFlight));
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
        long slackMs = (long) (attempt.deadlineAtMs() - nowMs - meanServiceMs - attempt.laterStagesMs());
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

    /** An endpoint that bears its full limit while cold needs no warm-up. */
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
                state.baseMs(poolBaseMs, nowMs),
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
            granted = queue.poll(ticket -> tryGrant(ticket, nowMs, notifications)).isPresent();
        }
    }

    /**
     * Tells whether a grant may still be used. To be asked immediately before the dispatch, since zones, endpoints,
     * leases and deadlines may have changed since the grant.
     *
     * @param grant the grant
     * @return empty where it may be used, the reason otherwise
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
                && (endpointWarmth == Warmth.WARM || (grant.cold() && state.inFlight() <= warmth.coldPermits(address, nowMs)));
        return permitted ? Optional.empty() : Optional.of(ErrorCode.NO_ENDPOINT);
    }

    /**
     * Gives a grant back and grants waiting work.
     *
     * @param grant the grant
     * @param result how the attempt ended
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
            if (result.answered()) {
                double serviceMs = result.serviceMs();
                poolBaseMs += MEAN_SMOOTHING * (serviceMs / (1 + grant.load()) - poolBaseMs);
                meanServiceMs += MEAN_SMOOTHING * (serviceMs - meanServiceMs);
                fastServiceMs.add(serviceMs);
                slowServiceMs.add(serviceMs);
            }
            serveQueue(nowMs, notifications);
        }
        notifications.forEach(Runnable::run);
    }

    /** Refuses all waiting and later work, since the pool is no longer in the tables; running calls may end. */
    public void close() {
        synchronized (this) {
            subset = Set.of();
        }
        processQueue();
    }

    /** Refuses waiting work that has become hopeless, and grants what may be granted now. */
    public void processQueue() {
        List<Runnable> notifications = new ArrayList<>();
        synchronized (this) {
            serveQueue(clock.nowMs(), notifications);
        }
        notifications.forEach(Runnable::run);
    }

    /**
     * Takes waiting work back, where its caller has left.
     *
     * @param ticket the ticket
     * @return whether it was still waiting
     */
    public synchronized boolean cancel(Ticket ticket) {
        return queue.remove(ticket);
    }

    /**
     * Records an endpoint's load report.
     *
     * @param address the endpoint
     * @param totalInFlight requests that it runs, over all instances
     */
    public synchronized void recordLoad(String address, int totalInFlight) {
        EndpointLoadState state = endpoints.get(address);
        if (state != null) {
            state.recordLoad(totalInFlight, clock.nowMs());
        }
    }

    /**
     * Records that an endpoint's memory is gone, since another incarnation answers.
     *
     * @param address the endpoint
     */
    public synchronized void clearPrefixes(String address) {
        prefixes.removeAddress(address);
    }

    /**
     * Returns the requests of this instance that an endpoint runs.
     *
     * @param address the endpoint
     * @return the number
     */
    public synchronized int inFlight(String address) {
        EndpointLoadState state = endpoints.get(address);
        return state == null ? 0 : state.inFlight();
    }

    /**
     * Tells whether requests of this instance need the pool.
     *
     * @param periodMs how far back a request counts, in milliseconds
     * @return whether work waits or was submitted within the period
     */
    public synchronized boolean hasDemand(long periodMs) {
        return queue.size() > 0 || inFlight > 0 || clock.nowMs() - lastSubmittedMs <= periodMs;
    }

    /**
     * Returns the time that a request would need here at least, from its submission to the answer of a quick call.
     *
     * @param workspace the customer's workspace
     * @param urgency how soon the request has to be served
     * @return milliseconds, with the wait that the queue makes likely now
     */
    public synchronized long minimumLatencyMs(String workspace, Urgency urgency) {
        StageAttempt hypothetical = new StageAttempt("", workspace, urgency, 0, 0, 0, Set.of(), false);
        return queue.size() == 0 ? (long) fastServiceMs.value() : waitMs(queue.countAhead(hypothetical)) + (long) slowServiceMs.value();
    }

    /**
     * Returns the pool as it is in force.
     *
     * @return the pool
     */
    public synchronized Pool pool() {
        return pool;
    }

    /**
     * Returns the endpoints that this instance uses.
     *
     * @return their addresses
     */
    public synchronized Set<String> subset() {
        return subset;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public synchronized int queueLength() {
        return queue.size();
    }

    /**
     * Describes the endpoints for operators.
     *
     * @return a view of each endpoint
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
                        Math.round(state.baseMs(poolBaseMs, nowMs))))
                .toList();
    }
}
