package org.pimentovale.kernel;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import org.pimentovale.kernel.configuration.ConfigurationTable;
import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.kernel.endpoint.WarmthTable;
import org.pimentovale.kernel.endpoint.WarmupRule;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.kernel.retry.RetryBudget;
import org.pimentovale.kernel.routing.RoutingPolicy;
import org.pimentovale.kernel.schedule.PoolScheduler;
import org.pimentovale.kernel.schedule.SchedulerContext;
import org.pimentovale.kernel.suspect.SuspectTable;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Route;
import org.pimentovale.table.Stage;

/**
 * The state shared by all workers of an instance: active configuration, schedulers, endpoint warmth, members, suspects
 * and retry budgets.
 *
 * <p>Invariant: each pool of the active configuration has exactly one scheduler, and that configuration has been
 * applied to it. Thread safe. Lock order: configuration table, this object's monitor, a pool's scheduler, then the leaf
 * locks (warmth, members, suspects, retry budgets).
 */
public final class ServingTables {
    private static final double RETRY_RATIO = 0.1;
    private static final double RETRY_BURST = 10;
    private static final int SUSPECT_CAPACITY = 10_000;
    private static final int QUARANTINE_THRESHOLD_LOSSES = 2;

    private final ConfigurationTable configuration = new ConfigurationTable();
    private final WarmthTable warmth = new WarmthTable();
    private final SuspectTable suspects = new SuspectTable(SUSPECT_CAPACITY, QUARANTINE_THRESHOLD_LOSSES);
    private final Map<String, PoolScheduler> schedulers = new ConcurrentHashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
    private final MonotonicClock clock;
    private final LongFunction<RandomGenerator> randomFactory;
    private final RoutingPolicy policy;
    private final MemberTable members;
    private final int queueLimit;
    private Set<String> leavingAddresses = Set.of();
    private int instanceCount = 1;

    /**
     * Creates tables without a configuration.
     *
     * @param clock the monotonic clock
     * @param randomFactory creates a random generator for each pool; its argument is derived from the pool's name
     * @param policy chooses among the endpoints with free capacity
     * @param members the entry instances
     * @param queueLimit maximum number of waiting requests per pool
     */
    public ServingTables(
            MonotonicClock clock,
            LongFunction<RandomGenerator> randomFactory,
            RoutingPolicy policy,
            MemberTable members,
            int queueLimit) {
        this.clock = clock;
        this.randomFactory = randomFactory;
        this.policy = policy;
        this.members = members;
        this.queueLimit = queueLimit;
        configuration.addListener(this::apply);
    }

    private synchronized void apply(Configuration active) {
        Map<String, WarmupRule> rules = new HashMap<>();
        for (Pool pool : active.tables().pools()) {
            WarmupRule rule = new WarmupRule(pool.coldLimit(), pool.warmAfterRequests(), pool.warmAfterMs());
            pool.endpoints().forEach(endpoint -> rules.merge(endpoint.address(), rule, ServingTables::stricter));
        }
        warmth.retain(rules);
        for (String name : List.copyOf(schedulers.keySet())) {
            if (active.tables().pool(name).isEmpty()) {
                schedulers.remove(name).close();
            }
        }
        for (Pool pool : active.tables().pools()) {
            PoolScheduler scheduler = schedulers.get(pool.name());
            if (scheduler != null) {
                scheduler.apply(pool, schedulerContext(active));
                continue;
            }
            RandomGenerator random = randomFactory.apply(pool.name().hashCode());
            schedulers.put(
                    pool.name(),
                    new PoolScheduler(pool, schedulerContext(active), policy, clock, random, warmth, queueLimit));
        }
    }

    private static WarmupRule stricter(WarmupRule left, WarmupRule right) {
        return left.coldLimit() <= right.coldLimit() ? left : right;
    }

    private SchedulerContext schedulerContext(Configuration active) {
        return new SchedulerContext(
                Set.copyOf(active.withdrawnZones()),
                leavingAddresses,
                instanceCount,
                members.self().name(),
                members.self().zone());
    }

    /**
     * Updates the leaving endpoints and the number of live instances, and applies the active configuration again if
     * either has changed.
     *
     * @param leaving addresses of endpoints that the platform is about to remove
     */
    public synchronized void updateContext(Set<String> leaving) {
        int live = members.live().size();
        if (leaving.equals(leavingAddresses) && live == instanceCount) {
            return;
        }
        leavingAddresses = Set.copyOf(leaving);
        instanceCount = live;
        configuration.active().ifPresent(this::apply);
    }

    /**
     * Records an endpoint's load report in the warmth table and in all schedulers. If the report shows a restart, the
     * schedulers drop the prefixes that the endpoint had cached.
     *
     * @param address the endpoint's host and port
     * @param report the load report
     * @param requestedMs when the report was requested, on the monotonic clock
     */
    public void observe(String address, LoadReport report, long requestedMs) {
        boolean restarted = warmth.incarnation(address)
                .filter(incarnation -> !incarnation.equals(report.incarnation()))
                .isPresent();
        int ownSent = 0;
        for (PoolScheduler scheduler : schedulers.values()) {
            ownSent += scheduler.sentBefore(address, requestedMs);
            if (restarted) {
                scheduler.clearPrefixes(address);
            }
        }
        warmth.observe(address, report, requestedMs, ownSent, clock.nowMs());
        for (PoolScheduler scheduler : schedulers.values()) {
            scheduler.recordLoad(address, report.inFlight());
        }
    }

    /**
     * Estimates the minimum time that the stages after a given one take, including the queueing delays expected now.
     *
     * @param route the route
     * @param position zero-based position of the given stage on the route
     * @param workspace the customer's workspace
     * @return the estimate in milliseconds; pools without a scheduler count as zero
     */
    public long laterStagesMs(Route route, int position, String workspace) {
        long sum = 0;
        for (Stage stage : route.stages().subList(position + 1, route.stages().size())) {
            sum += scheduler(stage.pool())
                    .map(scheduler -> scheduler.minimumLatencyMs(workspace, route.urgency()))
                    .orElse(0L);
        }
        return sum;
    }

    /**
     * Finds a pool's scheduler.
     *
     * @param pool the pool's name
     * @return the scheduler, or empty if the active configuration has no such pool
     */
    public Optional<PoolScheduler> scheduler(String pool) {
        return Optional.ofNullable(schedulers.get(pool));
    }

    /**
     * Returns the schedulers of all pools.
     *
     * @return a snapshot of the schedulers of the active configuration
     */
    public Collection<PoolScheduler> schedulers() {
        return List.copyOf(schedulers.values());
    }

    /**
     * Returns the retry budget of a pool, creating it on first use.
     *
     * @param pool the pool's name
     * @return the retry budget
     */
    public RetryBudget retryBudget(String pool) {
        return retryBudgets.computeIfAbsent(pool, unused -> new RetryBudget(RETRY_RATIO, RETRY_BURST));
    }

    /**
     * Returns the table that holds the active configuration.
     *
     * @return the configuration table
     */
    public ConfigurationTable configuration() {
        return configuration;
    }

    /**
     * Returns the table of endpoint warmth and warm-up leases.
     *
     * @return the warmth table
     */
    public WarmthTable warmth() {
        return warmth;
    }

    /**
     * Returns the table of requests suspected of crashing endpoints.
     *
     * @return the suspect table
     */
    public SuspectTable suspects() {
        return suspects;
    }

    /**
     * Returns the table of entry instances.
     *
     * @return the member table
     */
    public MemberTable members() {
        return members;
    }

    /**
     * Returns the monotonic clock.
     *
     * @return the clock
     */
    public MonotonicClock clock() {
        return clock;
    }
}
