package org.pimentovale.gateway;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.peer.PeerTable;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.settings.GatewaySettings.RetryBounds;
import org.pimentovale.kernel.directory.EndpointDirectory;
import org.pimentovale.kernel.endpoint.ColdShare;
import org.pimentovale.kernel.placement.DurationEstimates;
import org.pimentovale.kernel.retry.WindowedRetryBudget;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * What a gateway knows: the configuration in force, endpoints, peers, and its part of shared limits.
 *
 * <p>Invariant: the configuration's revision never falls. Not thread safe; used on one event loop, so that no table
 * needs a lock.
 */
public final class GatewayTables {
    private static final double INITIAL_FIRST_EVENT_ESTIMATE_MS = 150;

    private final MonotonicClock clock;
    private final EndpointDirectory endpoints = new EndpointDirectory();
    private final PeerTable peers;
    private final ColdShare coldEndpointLimiter;
    private final DurationEstimates firstEventEstimates = new DurationEstimates(INITIAL_FIRST_EVENT_ESTIMATE_MS);
    private final RetryBounds retryBounds;
    private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private long configurationRevision = -1;
    private final Set<ObjectKind> listedKinds = EnumSet.noneOf(ObjectKind.class);

    /**
     * Creates tables that know nothing yet.
     *
     * @param clock the time
     * @param peers the gateways
     * @param retryBounds bounds of repeats
     */
    public GatewayTables(MonotonicClock clock, PeerTable peers, RetryBounds retryBounds) {
        this.clock = clock;
        this.peers = peers;
        this.retryBounds = retryBounds;
        this.coldEndpointLimiter = new ColdShare(peers.self().name());
    }

    /**
     * Returns the time.
     *
     * @return milliseconds of the monotonic clock
     */
    public long nowMs() {
        return clock.nowMs();
    }

    /**
     * Puts a configuration in force unless a newer one is.
     *
     * @param next the configuration
     * @param revision the store's revision of it
     * @return whether it is in force now
     */
    public boolean applyIfNewer(ServingConfiguration next, long revision) {
        if (revision <= configurationRevision) {
            return false;
        }
        configurationRevision = revision;
        configuration = Optional.of(next);
        return true;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first
     */
    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /**
     * Returns the endpoints.
     *
     * @return the directory
     */
    public EndpointDirectory endpoints() {
        return endpoints;
    }

    /**
     * Records that all objects of a kind are known.
     *
     * @param kind the kind
     */
    public void markListed(ObjectKind kind) {
        listedKinds.add(kind);
    }

    /**
     * Tells whether requests can be served.
     *
     * @return whether the configuration, the endpoints and the withdrawn zones are known
     */
    public boolean ready() {
        return configuration.isPresent()
                && listedKinds.contains(ObjectKind.ENDPOINTS)
                && listedKinds.contains(ObjectKind.WITHDRAWN_ZONES);
    }

    /**
     * Returns the gateways.
     *
     * @return the table
     */
    public PeerTable peers() {
        return peers;
    }

    /**
     * Returns how long requests of each route take at their endpoint until their first event.
     *
     * @return the estimates, by route
     */
    public DurationEstimates firstEventEstimates() {
        return firstEventEstimates;
    }

    /**
     * Returns this gateway's parts of what cold endpoints bear.
     *
     * @return the shares
     */
    public ColdShare coldEndpointLimiter() {
        return coldEndpointLimiter;
    }

    /**
     * Returns this gateway's part of a service's repeats.
     *
     * @param service the service's name
     * @return the budget
     */
    public WindowedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                unused -> new WindowedRetryBudget(retryBounds.ratio(), retryBounds.slack(), retryBounds.windowMs()));
    }

    /**
     * Takes one repeat for a service.
     *
     * @param service the service's name
     * @return whether there was one
     */
    public boolean tryTakeRetry(String service) {
        return retryBudget(service).tryTake(peers.names().size(), nowMs());
    }
}
