package org.pimentovale.gateway.caller;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.directory.Availability;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.directory.EndpointWait;
import org.pimentovale.kernel.hedge.HedgeTargets;
import org.pimentovale.kernel.placement.EndpointPlacement;
import org.pimentovale.kernel.placement.EngineMemory;
import org.pimentovale.kernel.placement.MemoryDemand;
import org.pimentovale.kernel.placement.MemoryEstimate;
import org.pimentovale.kernel.placement.Placement;
import org.pimentovale.kernel.placement.PlacementRequest;
import org.pimentovale.kernel.placement.ServiceSpeeds;
import org.pimentovale.kernel.rollout.SendKind;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.stream.StreamOrigin;

/**
 * Selects the endpoints for one request and tracks those it was sent to. Not thread safe; used on one event loop.
 */
final class EndpointCandidates {
    // Fixed estimates of the work of a request and of reading a token. Only their ratio matters, for the choice by
    // affinity.
    private static final double WORK_MS = 500;
    private static final double MS_PER_TOKEN = 0.02;

    private final CallerRequest request;
    private final GatewayTables tables;
    private final Set<String> tried = new HashSet<>();
    private ServingService service;
    private Optional<String> build = Optional.empty();
    private Optional<Placement> placement = Optional.empty();
    private Optional<MemoryEstimate> memory = Optional.empty();

    EndpointCandidates(CallerRequest request, GatewayTables tables) {
        this.request = request;
        this.tables = tables;
        this.service = request.routed().service();
    }

    /** Returns the path of the request without its query. */
    String path() {
        int query = request.uri().indexOf('?');
        return query < 0 ? request.uri() : request.uri().substring(0, query);
    }

    /** Returns the service that runs the request. */
    ServingService service() {
        return service;
    }

    /**
     * Restricts the candidates to the service and the software build that began a stream. Returns false, and changes
     * nothing, if the request's route does not lead to that service.
     */
    boolean restrictTo(StreamOrigin origin) {
        Optional<ServingService> found = request.routed().route().leadsTo(origin.service())
                ? tables.configuration().flatMap(configuration -> configuration.service(origin.service()))
                : Optional.empty();
        found.ifPresent(beginning -> {
            service = beginning;
            build = Optional.of(origin.build());
        });
        return found.isPresent();
    }

    /** Tells whether no endpoint of the build to which the candidates are restricted takes new work any more. */
    boolean isBuildGone() {
        return build.isPresent() && usable().findAny().isEmpty();
    }

    private Stream<EndpointState> usable() {
        return tables
                .rollouts()
                .admitted(service.name(), tables.endpoints().usable(service.name()), sendKind())
                .stream()
                .filter(this::isOfBuild);
    }

    private SendKind sendKind() {
        if (build.isPresent()) {
            return SendKind.RESUMED;
        }
        return tried.isEmpty() ? SendKind.FIRST : SendKind.RETRY;
    }

    private boolean isOfBuild(EndpointState endpoint) {
        return build.isEmpty() || build.get().equals(endpoint.latest().build());
    }

    /** Chooses the best endpoint that may receive the request now, empty if there is none. */
    Optional<EndpointState> choose(long nowMs) {
        ServiceSpeeds speeds = tables.speeds(service.name());
        List<EndpointState> preferred = tables.rollouts().preferred(service.name(), available(nowMs), sendKind());
        Optional<EngineMemory> engines = memoryDemand().map(demand -> new EngineMemory(preferred, demand, nowMs));
        placement = EndpointPlacement.choose(
                preferred,
                placementRequest(engines.map(this::excluded).orElse(tried)),
                endpoint -> speeds.factor(endpoint.latest().incarnation(), nowMs),
                nowMs);
        memory = placement.flatMap(choice -> engines.map(estimates -> estimates.estimate(choice.endpoint())));
        return placement.map(Placement::endpoint);
    }

    /** Returns the endpoints that were tried and those without memory for the request while another has it. */
    private Set<String> excluded(EngineMemory engines) {
        Set<String> excluded = new HashSet<>(tried);
        excluded.addAll(engines.avoided(tried));
        return excluded;
    }

    /** Returns what the request needs of the memory of an endpoint, empty unless placement takes it into account. */
    private Optional<MemoryDemand> memoryDemand() {
        if (service.memoryTokens().isEmpty()) {
            return Optional.empty();
        }
        long tokens = request.attempt().tokens();
        return tables.tokenMeans()
                .map(means -> new MemoryDemand(
                        tokens, service.memoryTokens().getAsLong(), means.mean(service.name(), tokens)));
    }

    private PlacementRequest placementRequest(Set<String> excluded) {
        return new PlacementRequest(
                request.attempt().identifier(),
                excluded,
                request.attempt().wholeSharedPrefix(),
                tables.peers().self().zone(),
                WORK_MS,
                MS_PER_TOKEN);
    }

    /** Returns the latest choice with its inputs, empty if none was made or no endpoint was left. */
    Optional<Placement> placement() {
        return placement;
    }

    /** Returns the memory of the endpoint that was chosen last, empty if the service states none. */
    Optional<MemoryEstimate> memory() {
        return memory;
    }

    /**
     * Chooses an endpoint for a second copy of the request while the first is running. That of a stream runs the same
     * build as the first, since the record of where the stream began names one build.
     */
    Optional<EndpointState> chooseForHedge(EndpointState first, long nowMs) {
        List<EndpointState> untried = available(nowMs).stream()
                .filter(this::isUntried)
                .filter(endpoint -> !tables.endpoints().inSlowStart(endpoint, nowMs))
                .filter(endpoint -> !request.isStream()
                        || endpoint.latest().build().equals(first.latest().build()))
                .toList();
        List<EndpointState> withCapacity = memoryDemand()
                .map(demand -> new EngineMemory(untried, demand, nowMs).withCapacity())
                .orElse(untried);
        return HedgeTargets.choose(withCapacity, tables.peers().self().zone(), nowMs);
    }

    /** Returns how much of the capacity of the service's available endpoints is in use. */
    double occupiedShare(long nowMs) {
        return HedgeTargets.occupiedShare(available(nowMs), nowMs);
    }

    private List<EndpointState> available(long nowMs) {
        return usable().filter(endpoint -> availability(endpoint, nowMs) == Availability.AVAILABLE)
                .toList();
    }

    private Availability availability(EndpointState endpoint, long nowMs) {
        return tables.admission()
                .check(endpoint, service.coldRequestsPerSecond(), tables.peers().names(), nowMs);
    }

    /** Tells whether an endpoint that was chosen before, and for which a permit was granted, may get the request. */
    boolean isStillAvailable(EndpointState endpoint, long nowMs) {
        Availability availability = availability(endpoint, nowMs);
        boolean permitted = availability == Availability.AVAILABLE || availability == Availability.RATE_LIMITED;
        return permitted
                && isOfBuild(endpoint)
                && (tables.rollouts().isUnrestricted(service.name()) || usable().anyMatch(endpoint::equals));
    }

    /** Returns the shortest time after which an endpoint that is at its rate limit may be usable, zero if none is. */
    private long withheldMs(long nowMs) {
        return usable().mapToLong(endpoint -> endpoint.withheldMs(nowMs))
                .filter(waitMs -> waitMs > 0)
                .min()
                .orElse(0);
    }

    /** Decides whether the request waits for an endpoint, since none may get it now. */
    EndpointWait decideWait(long waitedMs, long nowMs) {
        ServingRoute route = request.routed().route();
        double expectedMs = request.isStream() ? tables.firstEventEstimates().expectedMs(route.name()) : 0;
        return EndpointWait.decide(
                returnMs(nowMs), withheldMs(nowMs), waitedMs, route.goalMs(), request.deadlineMs() - nowMs, expectedMs);
    }

    /** Returns the shortest time after which an endpoint that refused a request with a delay may get one again. */
    private OptionalLong returnMs(long nowMs) {
        return usable().filter(this::isUntried)
                .flatMapToLong(endpoint -> tables.endpoints().returnMs(endpoint, nowMs).stream())
                .min();
    }

    /** Describes why no endpoint of the service gets the request, with the number of endpoints for each reason. */
    String unavailability(long nowMs) {
        Map<Availability, Integer> counts = new EnumMap<>(Availability.class);
        tables.endpoints().ofService(service.name()).stream()
                .filter(this::isOfBuild)
                .forEach(endpoint -> counts.merge(availability(endpoint, nowMs), 1, Integer::sum));
        String withheld = tables.rollouts().enabled() ? ", allowed by roll-outs: " + usable().count() : "";
        return "no available endpoint of service " + service.name() + ", endpoints by state: " + counts + withheld;
    }

    void markTried(String identifier) {
        tried.add(identifier);
    }

    /** Allows that the request is sent again to an endpoint that has not run it and named a delay. */
    void markUntried(String identifier) {
        tried.remove(identifier);
    }

    /** Tells whether another endpoint, to which the request has not been sent, may get it now. */
    boolean hasUntried(long nowMs) {
        return usable().filter(this::isUntried)
                .anyMatch(endpoint -> availability(endpoint, nowMs) == Availability.AVAILABLE);
    }

    private boolean isUntried(EndpointState endpoint) {
        return !tried.contains(endpoint.latest().identifier());
    }
}
