package org.pimentovale.gateway.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.rollout.AnswerSample;
import org.pimentovale.kernel.rollout.BuildAdmission;
import org.pimentovale.kernel.rollout.DurationHistogram;
import org.pimentovale.kernel.rollout.RolloutIdentity;
import org.pimentovale.kernel.rollout.RolloutState;
import org.pimentovale.kernel.rollout.RouteEvidence;
import org.pimentovale.kernel.rollout.SendKind;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * Lets requests follow the orders, and records what this gateway sees of their responses.
 *
 * <p>Invariant: a call counts only for the order that was in force when it began, and at most once. Not thread safe;
 * used on one event loop.
 */
public final class RolloutEvidence implements RolloutRecorder {
    private static final long LOSS_REPORTED_MS = 5_000;
    private static final String OTHER_ROUTES = "other routes";

    private final BuildAdmission admission;
    private final MonotonicClock clock;
    private final GatewayMetrics metrics;
    private final Consumer<RolloutState> onBadResponse;
    private final Map<String, ServiceEvidence> services = new HashMap<>();
    private final RunningCalls running = new RunningCalls();

    private record Loss(String route, EndpointRecord endpoint, boolean ofNewBuild, long atMs) {}

    /** What was seen of one service since its order. */
    private static final class ServiceEvidence {
        private final RolloutIdentity identity;
        private final Map<String, RouteEvidence> routes = new HashMap<>();
        private final DurationHistogram requestDurations = new DurationHistogram();
        private final Deque<Loss> losses = new ArrayDeque<>();

        private ServiceEvidence(RolloutIdentity identity) {
            this.identity = identity;
        }

        private RouteEvidence route(String name) {
            boolean full = routes.size() >= EvidenceReport.MAX_ROUTES - 1 && !routes.containsKey(name);
            return routes.computeIfAbsent(full ? OTHER_ROUTES : name, unused -> new RouteEvidence());
        }

        private void addLoss(Loss loss) {
            losses.addLast(loss);
            if (losses.size() > EvidenceReport.MAX_LOSSES) {
                losses.removeFirst();
            }
        }
    }

    /**
     * Creates records without evidence.
     *
     * @param admission decides which endpoints may get requests
     * @param clock the source of monotonic time
     * @param metrics counts requests and bad responses by side
     * @param onBadResponse called after a bad response of an order's new build was recorded
     */
    public RolloutEvidence(
            BuildAdmission admission,
            MonotonicClock clock,
            GatewayMetrics metrics,
            Consumer<RolloutState> onBadResponse) {
        this.admission = admission;
        this.clock = clock;
        this.metrics = metrics;
        this.onBadResponse = onBadResponse;
    }

    @Override
    public boolean enabled() {
        return true;
    }

    @Override
    public List<EndpointState> admitted(String service, List<EndpointState> usable, SendKind kind) {
        return admission.admitted(service, usable, kind, clock.nowMs());
    }

    @Override
    public boolean isUnrestricted(String service) {
        return admission.isUnrestricted(service);
    }

    @Override
    public List<EndpointState> preferred(String service, List<EndpointState> available, SendKind kind) {
        return admission.preferred(service, available, kind);
    }

    @Override
    public CallSample begin(EndpointRecord endpoint, String route, boolean cold) {
        Optional<RolloutState> order = admission.recordSend(endpoint);
        order.ifPresent(state -> {
            boolean ofNewBuild = state.isNew(endpoint.build());
            evidence(state).route(route).recordSend(ofNewBuild, endpoint.identifier());
            metrics.recordRolloutSend(endpoint.service(), side(ofNewBuild));
        });
        return new RunningCall(
                endpoint,
                route,
                cold,
                order.map(state -> state.order().identity()),
                running.begin(endpoint.service(), endpoint.build()));
    }

    private static String side(boolean ofNewBuild) {
        return ofNewBuild ? "new" : "old";
    }

    private ServiceEvidence evidence(RolloutState state) {
        RolloutIdentity identity = state.order().identity();
        ServiceEvidence known = services.get(state.order().service());
        if (known == null || !known.identity.equals(identity)) {
            known = new ServiceEvidence(identity);
            services.put(state.order().service(), known);
        }
        return known;
    }

    /** Returns the order for which a call counts, empty if it has ended. */
    private Optional<RolloutState> current(String service, Optional<RolloutIdentity> identity) {
        return identity.flatMap(known -> admission
                .find(service)
                .filter(state -> state.order().identity().equals(known))
                .filter(state -> !state.phase().isFinal()));
    }

    /** Applies the limits of durations that the decider derived. */
    void setLimits(RolloutState state, List<RouteLimits> limits) {
        ServiceEvidence evidence = evidence(state);
        limits.stream().limit(EvidenceReport.MAX_ROUTES).forEach(route -> evidence.route(route.route())
                .setLimits(route.limits()));
    }

    /** Returns the report for the decider, sent before its turn or regularly. */
    EvidenceReport report(RolloutState state, String gateway, boolean early) {
        long nowMs = clock.nowMs();
        ServiceEvidence evidence = evidence(state);
        List<RouteReport> routes = new ArrayList<>();
        evidence.routes.forEach((name, seen) -> routes.add(new RouteReport(
                name,
                seen.old(),
                seen.endpoints(),
                seen.durations(nowMs).counts(),
                seen.pauses(nowMs).counts())));
        List<LostEndpoint> losses = evidence.losses.stream()
                .filter(loss -> nowMs - loss.atMs() < LOSS_REPORTED_MS)
                .map(loss -> new LostEndpoint(
                        loss.route(),
                        loss.endpoint().identifier(),
                        loss.endpoint().zone(),
                        loss.ofNewBuild(),
                        state.ageMs(loss.atMs())))
                .toList();
        return new EvidenceReport(
                gateway,
                Optional.of(early),
                state.order().service(),
                state.order().identity(),
                state.ageMs(nowMs),
                state.phase(),
                routes,
                evidence.requestDurations.counts(),
                running.atOtherBuilds(
                        state.order().service(), state.order().identity().to()),
                losses);
    }

    /** A call in progress. */
    private final class RunningCall implements CallSample {
        private final EndpointRecord endpoint;
        private final String route;
        private final boolean cold;
        private final Optional<RolloutIdentity> identity;
        private final RunningCalls.Counter atBuild;
        private final long startedMs = clock.nowMs();
        private OptionalDouble firstEventMs = OptionalDouble.empty();
        private OptionalDouble pauseMs = OptionalDouble.empty();
        private boolean concluded;
        private boolean ended;

        private RunningCall(
                EndpointRecord endpoint,
                String route,
                boolean cold,
                Optional<RolloutIdentity> identity,
                RunningCalls.Counter atBuild) {
            this.endpoint = endpoint;
            this.route = route;
            this.cold = cold;
            this.identity = identity;
            this.atBuild = atBuild;
        }

        private double elapsedMs() {
            return clock.nowMs() - startedMs;
        }

        @Override
        public void firstEvent() {
            firstEventMs = OptionalDouble.of(elapsedMs());
        }

        @Override
        public void events(int count) {
            if (firstEventMs.isPresent() && count > 1) {
                pauseMs = OptionalDouble.of((elapsedMs() - firstEventMs.getAsDouble()) / (count - 1));
            }
        }

        @Override
        public void answered(boolean failed) {
            conclude(failed);
        }

        @Override
        public void failed() {
            conclude(true);
        }

        @Override
        public void lost() {
            if (!concluded) {
                concluded = true;
                current(endpoint.service(), identity).ifPresent(this::recordLoss);
            }
        }

        private void recordLoss(RolloutState state) {
            boolean ofNewBuild = state.isNew(endpoint.build());
            evidence(state).addLoss(new Loss(route, endpoint, ofNewBuild, clock.nowMs()));
            if (ofNewBuild) {
                onBadResponse.accept(state);
            }
        }

        private void conclude(boolean failed) {
            if (!concluded) {
                concluded = true;
                current(endpoint.service(), identity).ifPresent(state -> record(state, failed));
            }
        }

        private void record(RolloutState state, boolean failed) {
            boolean ofNewBuild = state.isNew(endpoint.build());
            ServiceEvidence seen = evidence(state);
            AnswerSample sample = new AnswerSample(
                    ofNewBuild, endpoint.identifier(), failed, firstEventMs.orElse(elapsedMs()), pauseMs, !cold);
            boolean bad = seen.route(route).recordResponse(sample, clock.nowMs());
            if (!ofNewBuild) {
                seen.requestDurations.record(elapsedMs());
            }
            if (bad) {
                metrics.recordRolloutBadAnswer(endpoint.service(), route, side(ofNewBuild));
            }
            if (bad && ofNewBuild) {
                onBadResponse.accept(state);
            }
        }

        @Override
        public void end() {
            if (!ended) {
                ended = true;
                atBuild.end();
            }
        }
    }
}
