package org.pimentovale.kernel.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pimentovale.kernel.directory.EndpointDirectory;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Decides which endpoints of a service may get a request now, as far as the orders for roll-outs tell.
 *
 * <p>Invariant: an excluded build gets no requests; the target of an order gets requests only in a phase that allows
 * it. A service without an order in progress, and without held or excluded builds, is remembered as unrestricted until
 * the list of endpoints or an order changes, so that its requests cost one lookup. Not thread safe; used on one event
 * loop.
 */
public final class BuildAdmission {
    private static final double TRIAL_SHARE_DIVISOR = 2;
    private static final long NO_REVISION = -1;

    private final EndpointDirectory directory;
    private final RolloutSettings settings;
    private final String gateway;
    private final HeldBuilds heldBuilds;
    private final ExcludedBuilds excludedBuilds = new ExcludedBuilds();
    private final Map<String, RolloutState> rollouts = new HashMap<>();
    private final Set<String> unrestricted = new HashSet<>();
    private long unrestrictedAtRevision = NO_REVISION;
    private long observedRevision = NO_REVISION;

    /**
     * Creates a decision without orders.
     *
     * @param directory the endpoints
     * @param settings the bounds that roll-outs keep
     * @param gateway the name of this gateway
     * @param listener learns which builds are held back until the orders are confirmed
     */
    public BuildAdmission(
            EndpointDirectory directory, RolloutSettings settings, String gateway, BuildListener listener) {
        this.directory = directory;
        this.settings = settings;
        this.gateway = gateway;
        this.heldBuilds = new HeldBuilds(listener);
    }

    /**
     * Adds an order or a later state of its object. An order with another identity supersedes the former one.
     *
     * @param order the order
     * @param nowMs the current time in milliseconds
     * @return whether the order was not known
     */
    public boolean put(RolloutOrder order, long nowMs) {
        RolloutState known = rollouts.get(order.service());
        boolean added = known == null || !known.order().identity().equals(order.identity());
        if (added) {
            invalidate();
            withdraw(order.service(), nowMs);
            heldBuilds.addFirst(order.service(), listedBuilds(order.service()));
            String target = order.identity().to();
            heldBuilds.addKnown(order.service(), target);
            heldBuilds.release(order.service(), target);
            excludedBuilds.remove(order.service(), target);
            known = new RolloutState(order, allowance(order), nowMs);
            rollouts.put(order.service(), known);
        }
        known.update(order);
        adoptStored(known, nowMs);
        return added;
    }

    /** Has all services examined again, since the orders or the known builds have changed. */
    private void invalidate() {
        unrestrictedAtRevision = NO_REVISION;
        observedRevision = NO_REVISION;
    }

    private TrialAllowance allowance(RolloutOrder order) {
        return TrialAllowance.of(
                settings.exposureShare() / TRIAL_SHARE_DIVISOR, gateway, order.service(), order.identity());
    }

    private void adoptStored(RolloutState state, long nowMs) {
        Optional<RolloutPhase> stored = state.order().storedEnd();
        stored.filter(end -> end != state.phase()).ifPresent(end -> enter(state, end, nowMs));
    }

    /**
     * Ends a service's order whose object was deleted. If the order had no final phase, or was rolled back, its target
     * gets no further requests.
     *
     * @param service the service's name
     * @param nowMs the current time in milliseconds
     * @return the order that was in force
     */
    public Optional<RolloutOrder> withdraw(String service, long nowMs) {
        invalidate();
        Optional<RolloutState> ended = Optional.ofNullable(rollouts.remove(service));
        ended.filter(state -> state.phase() != RolloutPhase.COMPLETED)
                .ifPresent(state ->
                        excludedBuilds.add(service, state.order().identity().to(), nowMs));
        return ended.map(RolloutState::order);
    }

    /**
     * Moves an order to a later phase.
     *
     * @param service the service's name
     * @param identity the order to which the phase belongs
     * @param next the phase
     * @param nowMs the current time in milliseconds
     * @return whether the phase was entered; false if the order is not in force or its phase is not lower
     */
    public boolean advance(String service, RolloutIdentity identity, RolloutPhase next, long nowMs) {
        Optional<RolloutState> state =
                find(service).filter(known -> known.order().identity().equals(identity));
        boolean follows = state.filter(known -> next.follows(known.phase())).isPresent();
        if (follows) {
            enter(state.get(), next, nowMs);
        }
        return follows;
    }

    private void enter(RolloutState state, RolloutPhase next, long nowMs) {
        invalidate();
        state.enter(next, nowMs);
        String service = state.order().service();
        if (next == RolloutPhase.COMPLETED) {
            excludedBuilds.remove(service, state.order().identity().to());
            listedBuilds(service).stream()
                    .filter(build -> !state.isNew(build))
                    .forEach(build -> excludedBuilds.add(service, build, nowMs));
        }
    }

    private Set<String> listedBuilds(String service) {
        return directory.ofService(service).stream()
                .map(endpoint -> endpoint.latest().build())
                .collect(Collectors.toSet());
    }

    /**
     * Returns the order of a service.
     *
     * @param service the service's name
     * @return what is known of it, empty if there is none
     */
    public Optional<RolloutState> find(String service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    private Optional<RolloutState> findRunning(String service) {
        return find(service).filter(state -> !state.phase().isFinal());
    }

    /**
     * Returns all orders.
     *
     * @return what is known of them
     */
    public Collection<RolloutState> all() {
        return List.copyOf(rollouts.values());
    }

    /**
     * Returns the endpoints that may get a request of a service, now or once the trial's allowance has room.
     *
     * @param service the service's name
     * @param usable the usable endpoints of the service
     * @param kind why the request is sent
     * @param nowMs the current time in milliseconds
     * @return those that the orders allow
     */
    public List<EndpointState> admitted(String service, List<EndpointState> usable, SendKind kind, long nowMs) {
        if (isUnrestricted(service)) {
            return usable;
        }
        List<EndpointState> admitted = examine(service, usable, kind, nowMs);
        if (hasNoRestriction(service, nowMs)) {
            unrestricted.add(service);
        }
        return admitted;
    }

    /**
     * Tells whether all usable endpoints of a service are known to be admitted. The result is false until
     * {@link #admitted} has examined the service.
     *
     * @param service the service's name
     * @return whether no order, held build or excluded build concerns the service
     */
    public boolean isUnrestricted(String service) {
        long revision = directory.listRevision();
        if (unrestrictedAtRevision != revision) {
            unrestricted.clear();
            unrestrictedAtRevision = revision;
        }
        return unrestricted.contains(service);
    }

    private boolean hasNoRestriction(String service, long nowMs) {
        RolloutState rollout = rollouts.get(service);
        boolean ordered = rollout != null && rollout.phase() != RolloutPhase.COMPLETED;
        return !ordered
                && !excludedBuilds.containsAny(service)
                && !heldBuilds.holdsAny(service, nowMs)
                && heldBuilds.knowsAll(service, listedBuilds(service));
    }

    private List<EndpointState> examine(String service, List<EndpointState> usable, SendKind kind, long nowMs) {
        RolloutState rollout = rollouts.get(service);
        boolean alone = rollout != null && standsAlone(rollout);
        List<EndpointState> allowed = usable.stream()
                .filter(endpoint -> isAllowed(service, rollout, alone, endpoint, kind, nowMs))
                .toList();
        List<EndpointState> released = allowed.stream()
                .filter(endpoint -> isTarget(rollout, endpoint)
                        || !heldBuilds.isHeld(service, endpoint.latest().build(), nowMs))
                .toList();
        return released.isEmpty() ? allowed : released;
    }

    private static boolean isTarget(RolloutState rollout, EndpointState endpoint) {
        return rollout != null && rollout.isNew(endpoint.latest().build());
    }

    private boolean isAllowed(
            String service, RolloutState rollout, boolean alone, EndpointState endpoint, SendKind kind, long nowMs) {
        String build = endpoint.latest().build();
        if (excludedBuilds.contains(service, build)) {
            return false;
        }
        if (rollout == null) {
            return true;
        }
        boolean newBuild = rollout.isNew(build);
        return switch (rollout.phase()) {
            case UNDECIDED -> !newBuild || alone;
            case TRIAL -> !newBuild || alone || isTrial(rollout, endpoint, kind, nowMs);
            case FULL -> newBuild || kind == SendKind.RESUMED;
            case COMPLETED -> true;
            case ROLLED_BACK -> !newBuild;
        };
    }

    private static boolean isTrial(RolloutState rollout, EndpointState endpoint, SendKind kind, long nowMs) {
        return rollout.isCanary(endpoint.latest().identifier(), nowMs)
                && (kind == SendKind.RESUMED || rollout.allowance().permits());
    }

    /** Tells whether no endpoint of another build is listed that could serve instead of the new one. */
    private boolean standsAlone(RolloutState rollout) {
        return directory.ofService(rollout.order().service()).stream()
                .allMatch(endpoint -> rollout.isNew(endpoint.latest().build()));
    }

    /**
     * Selects among the endpoints that may get a request now: during a trial, a first send goes to the new build as
     * long as the allowance has room, to its endpoints in turn, and a retry to another build.
     *
     * @param service the service's name
     * @param available endpoints that {@link #admitted} returned
     * @param kind why the request is sent
     * @return the preferred endpoints, all of them if there is no preference
     */
    public List<EndpointState> preferred(String service, List<EndpointState> available, SendKind kind) {
        RolloutState rollout = rollouts.get(service);
        if (rollout == null || rollout.phase() != RolloutPhase.TRIAL) {
            return available;
        }
        boolean prefersNew = kind == SendKind.FIRST;
        List<EndpointState> preferred = available.stream()
                .filter(endpoint -> rollout.isNew(endpoint.latest().build()) == prefersNew)
                .toList();
        if (preferred.isEmpty()) {
            return available;
        }
        return prefersNew ? List.of(leastTried(rollout, preferred)) : preferred;
    }

    /**
     * Returns the canary endpoint that got the fewest requests of this gateway. If placement chose, an idle endpoint
     * would get all of them, and a single endpoint's evidence rejects no build. Gateways begin with different ones.
     */
    private EndpointState leastTried(RolloutState rollout, List<EndpointState> canaries) {
        return canaries.stream()
                .min(Comparator.<EndpointState>comparingInt(
                                endpoint -> rollout.trials(endpoint.latest().identifier()))
                        .thenComparingLong(endpoint ->
                                RendezvousHash.weight(gateway, endpoint.latest().identifier())))
                .orElseThrow();
    }

    /**
     * Records a request that is sent to an endpoint.
     *
     * @param endpoint the endpoint's entry
     * @return the service's order, empty if there is none or it has a final phase
     */
    public Optional<RolloutState> recordSend(EndpointRecord endpoint) {
        Optional<RolloutState> running = findRunning(endpoint.service());
        if (running.isPresent()) {
            RolloutState rollout = running.get();
            if (rollout.isNew(endpoint.build())) {
                rollout.recordTrial(endpoint.identifier());
            } else {
                rollout.allowance().recordOther();
            }
        }
        return running;
    }

    /**
     * Holds back a build that another gateway named as the target of an order that is not known here.
     *
     * @param service the service's name
     * @param build the build
     * @param nowMs the current time in milliseconds
     */
    public void holdUnknownTarget(String service, String build, long nowMs) {
        invalidate();
        heldBuilds.holdUntilConfirmed(service, build, nowMs);
    }

    /**
     * Tells whether a build is held back.
     *
     * @param service the service's name
     * @param build the build
     * @param nowMs the current time in milliseconds
     * @return whether the orders were not confirmed since it appeared, or since another gateway named it
     */
    public boolean isHeld(String service, String build, long nowMs) {
        return heldBuilds.isHeld(service, build, nowMs);
    }

    /**
     * Releases a build after the orders were confirmed.
     *
     * @param service the service's name
     * @param build the build
     */
    public void release(String service, String build) {
        heldBuilds.release(service, build);
    }

    /**
     * Records which builds are listed, and forgets those that are not listed any more. To be called periodically. If
     * neither the list nor an order has changed since the last call, only services with excluded builds are examined,
     * whose builds are forgotten after a time.
     *
     * @param nowMs the current time in milliseconds
     * @return how many services were examined
     */
    public int observeBuilds(long nowMs) {
        Set<String> services = new HashSet<>(excludedBuilds.services());
        if (observedRevision != directory.listRevision()) {
            observedRevision = directory.listRevision();
            services.addAll(heldBuilds.services());
            directory
                    .allEndpoints()
                    .forEach(endpoint -> services.add(endpoint.latest().service()));
        }
        for (String service : services) {
            Set<String> listed = listedBuilds(service);
            heldBuilds.addFirst(service, listed);
            heldBuilds.retain(service, listed);
            excludedBuilds.observe(service, listed, nowMs);
        }
        return services.size();
    }
}
