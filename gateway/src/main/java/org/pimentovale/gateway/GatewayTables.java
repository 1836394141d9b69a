package org.pimentovale.gateway;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.peer.PeerTable;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.rollout.RolloutRecorder;
import org.pimentovale.gateway.settings.GatewaySettings.RetryBudgetSettings;
import org.pimentovale.kernel.directory.EndpointAdmission;
import org.pimentovale.kernel.directory.EndpointDirectory;
import org.pimentovale.kernel.endpoint.ColdEndpointRateLimiter;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.placement.DurationEstimates;
import org.pimentovale.kernel.placement.ServiceSpeeds;
import org.pimentovale.kernel.placement.TokenMeans;
import org.pimentovale.kernel.retry.RecentMaximum;
import org.pimentovale.kernel.retry.WindowedRetryBudget;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * The in-memory state of a gateway: the active configuration, endpoints, peers, and this gateway's share of the limits
 * that all gateways keep together.
 *
 * <p>Not thread safe; used on one event loop, so no table
 * needs a lock.
 */
public final class GatewayTables {
    /** A gateway that shuts down uses its budget for nearly a window after it has left the list. */
    private static final long WINDOWS_OF_DEPARTED_INSTANCES = 2;

    private static final int OWNERS_PER_WINDOW = 2;
    private static final double INITIAL_FIRST_EVENT_ESTIMATE_MS = 150;

    private final MonotonicClock clock;
    private final EndpointDirectory endpoints = new EndpointDirectory();
    private final PeerTable peers;
    private final ColdEndpointRateLimiter coldEndpointLimiter;
    private final EndpointAdmission admission;
    private final DurationEstimates firstEventEstimates = new DurationEstimates(INITIAL_FIRST_EVENT_ESTIMATE_MS);
    private final Map<String, ServiceSpeeds> speeds = new HashMap<>();
    private final Optional<TokenMeans> tokenMeans;
    private final RetryBudgetSettings retryBudgetSettings;
    private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, WindowedRetryBudget> pieceRetryBudgets = new HashMap<>();
    private final RecentMaximum instanceCounts;
    private final long startedMs;
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private StoreRevision configurationRevision = StoreRevision.NONE;
    private final Set<ObjectKind> listedKinds = EnumSet.noneOf(ObjectKind.class);
    private RolloutRecorder rollouts = RolloutRecorder.OFF;

    /**
     * Creates empty tables.
     *
     * @param clock the source of monotonic time
     * @param peers the table of gateways, this one included
     * @param retryBudgetSettings the retry budget of each service, shared by all gateways
     * @param engineMemory whether endpoints without memory for a request's tokens are avoided
     */
    public GatewayTables(
            MonotonicClock clock, PeerTable peers, RetryBudgetSettings retryBudgetSettings, boolean engineMemory) {
        this.clock = clock;
        this.peers = peers;
        this.retryBudgetSettings = retryBudgetSettings;
        this.tokenMeans = engineMemory ? Optional.of(new TokenMeans()) : Optional.empty();
        this.coldEndpointLimiter = new ColdEndpointRateLimiter(peers.self().name());
        this.instanceCounts = new RecentMaximum(WINDOWS_OF_DEPARTED_INSTANCES * retryBudgetSettings.windowMs());
        this.startedMs = clock.nowMs();
        this.admission = new EndpointAdmission(endpoints, coldEndpointLimiter);
    }

    /**
     * Returns the current time of the monotonic clock.
     *
     * @return milliseconds since an arbitrary origin
     */
    public long nowMs() {
        return clock.nowMs();
    }

    /**
     * Activates a configuration unless it is the active one. The caller has decided that it is not older, see
     * {@link org.pimentovale.kernel.history.ObjectHistory}.
     *
     * @param next the configuration
     * @param revision the store's revision of the configuration
     * @return whether the configuration was activated
     */
    public boolean applyIfChanged(ServingConfiguration next, StoreRevision revision) {
        if (configurationRevision.equals(revision)) {
            return false;
        }
        configurationRevision = revision;
        configuration = Optional.of(next);
        return true;
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration, empty until the first one is loaded
     */
    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns the directory of endpoints.
     *
     * @return the directory, which is updated in place
     */
    public EndpointDirectory endpoints() {
        return endpoints;
    }

    /**
     * Returns the decision whether an endpoint may get a request now.
     *
     * @return the decision on this gateway's endpoints
     */
    public EndpointAdmission admission() {
        return admission;
    }

    /**
     * Records that all objects of a kind have been listed.
     *
     * @param kind the kind of objects
     */
    public void markListed(ObjectKind kind) {
        listedKinds.add(kind);
    }

    /**
     * Tells whether requests can be served.
     *
     * @return whether a configuration is active and all kinds of objects have been listed
     */
    public boolean ready() {
        return configuration.isPresent()
                && listedKinds.size() == ObjectKind.ALWAYS_WATCHED.size() + (rollouts.enabled() ? 1 : 0);
    }

    /**
     * Returns the table of gateways, this one included.
     *
     * @return the table, which is updated in place
     */
    public PeerTable peers() {
        return peers;
    }

    /**
     * Returns estimates of the time from sending a request to an endpoint until the first event of its response.
     *
     * @return the estimates, by route name
     */
    public DurationEstimates firstEventEstimates() {
        return firstEventEstimates;
    }

    /**
     * Returns the learnt speeds of a service's endpoints.
     *
     * @param service the service's name
     * @return the speeds, updated in place
     */
    public ServiceSpeeds speeds(String service) {
        return speeds.computeIfAbsent(service, unused -> new ServiceSpeeds());
    }

    /**
     * Returns the mean tokens of requests to services whose endpoints state their memory.
     *
     * @return the means, updated in place; empty if placement ignores the memory of endpoints
     */
    public Optional<TokenMeans> tokenMeans() {
        return tokenMeans;
    }

    /**
     * Returns the limiter of the requests that this gateway sends to cold endpoints.
     *
     * @return the limiter, which keeps this gateway to its share of each endpoint's rate
     */
    public ColdEndpointRateLimiter coldEndpointLimiter() {
        return coldEndpointLimiter;
    }

    /**
     * Returns this gateway's share of a service's retry budget.
     *
     * @param service the service's name
     * @return the budget, created on first use
     */
    public WindowedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                unused -> new WindowedRetryBudget(
                        retryBudgetSettings.ratio(),
                        retryBudgetSettings.slack(),
                        retryBudgetSettings.windowMs(),
                        startedMs));
    }

    /**
     * Returns the budget for pieces of a service's stages that are sent again.
     *
     * <p>One gateway, the owner, sends the pieces of all requests, so the first attempts that it records are those of
     * all gateways. Two gateways that own the service within one window stay within the common slack together.
     *
     * @param service the service's name
     * @return the budget, created on first use
     */
    public WindowedRetryBudget pieceRetryBudget(String service) {
        return pieceRetryBudgets.computeIfAbsent(
                service,
                unused -> new WindowedRetryBudget(
                        retryBudgetSettings.ratio(),
                        retryBudgetSettings.slack(),
                        retryBudgetSettings.windowMs(),
                        startedMs,
                        retryBudgetSettings.slack() / OWNERS_PER_WINDOW));
    }

    /**
     * Takes one retry from a service's budget for pieces.
     *
     * @param service the service's name
     * @return false if the budget is exhausted, or the other gateways that share it are not known yet
     */
    public boolean tryTakePieceRetry(String service) {
        long nowMs = clock.nowMs();
        return ready() && pieceRetryBudget(service).tryTakeRetry(instanceCounts.get(nowMs), nowMs);
    }

    /**
     * Takes one retry from a service's budget.
     *
     * @param service the service's name
     * @return false if the budget is exhausted, or the other gateways that share it are not known yet
     */
    public boolean tryTakeRetry(String service) {
        observeInstances();
        return ready() && retryBudget(service).tryTakeRetry(instanceCounts.get(nowMs()), nowMs());
    }

    /**
     * Returns how much of this gateway's share of a service's retry budget is left.
     *
     * @param service the service's name
     * @return a share between zero and one, zero if no retry is allowed now
     */
    public double retryBudgetLeft(String service) {
        observeInstances();
        return ready() ? retryBudget(service).leftShare(instanceCounts.get(nowMs()), nowMs()) : 0;
    }

    /**
     * Returns the records of roll-outs, which also tell which endpoints may get requests.
     *
     * @return the records, {@link RolloutRecorder#OFF} unless the settings name bounds
     */
    public RolloutRecorder rollouts() {
        return rollouts;
    }

    /**
     * Lets requests follow the orders for roll-outs. To be called before the first request.
     *
     * @param recorder the records
     */
    public void enableRollouts(RolloutRecorder recorder) {
        rollouts = recorder;
    }

    /** Records the number of known gateways. To be called periodically and after each change. */
    public void observeInstances() {
        instanceCounts.observe(peers.names().size(), nowMs());
    }
}
