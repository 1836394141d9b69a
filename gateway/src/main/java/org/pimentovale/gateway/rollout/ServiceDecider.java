package org.pimentovale.gateway.rollout;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.RolloutStore;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.rollout.BuildAdmission;
import org.pimentovale.kernel.rollout.CanarySelection;
import org.pimentovale.kernel.rollout.ReportPeriod;
import org.pimentovale.kernel.rollout.RolloutDecision;
import org.pimentovale.kernel.rollout.RolloutDecision.Situation;
import org.pimentovale.kernel.rollout.RolloutDecision.Transition;
import org.pimentovale.kernel.rollout.RolloutPhase;
import org.pimentovale.kernel.rollout.RolloutProgress;
import org.pimentovale.kernel.rollout.RolloutSettings;
import org.pimentovale.kernel.rollout.RolloutState;
import org.pimentovale.log.Events;

/**
 * Decides on one order while this gateway owns its service's roll-out.
 *
 * <p>Everything here can be rebuilt: phase and age from the store, the reports and this gateway's memory; the evidence
 * from the reports, which are cumulative. Invariants: no trial begins before the stored progress was read; once the
 * write of the completion was sent, no other end is decided, since that write may take effect later. Not thread safe;
 * used on one event loop.
 */
final class ServiceDecider {
    private static final Logger LOG = Logger.getLogger(ServiceDecider.class);
    // A gateway that knows a later phase reports it as soon as it hears from a decider that does not, see takeOver.
    private static final long COLLECTION_MS = 1_000;
    private static final long PROGRESS_WAIT_MS = 1_000;

    private final GatewayTables tables;
    private final RolloutSettings settings;
    private final BuildAdmission admission;
    private final RolloutState state;
    private final StatusWriter statusWriter;
    private final PhaseAnnouncer announcer;
    private final ProgressWriter progress;
    private final CollectedEvidence evidence = new CollectedEvidence();
    private final long createdMs;
    private long sequence;
    private List<String> canaries = List.of();
    private Optional<Transition> awaitingProgress = Optional.empty();
    private long awaitingSinceMs;
    private boolean completing;

    ServiceDecider(
            GatewayTables tables,
            RolloutSettings settings,
            BuildAdmission admission,
            RolloutState state,
            RolloutStore store,
            StatusWriter statusWriter,
            PhaseAnnouncer announcer,
            LongSupplier wallClock) {
        this.tables = tables;
        this.settings = settings;
        this.admission = admission;
        this.state = state;
        this.statusWriter = statusWriter;
        this.announcer = announcer;
        this.progress = new ProgressWriter(store, state, tables::nowMs, wallClock, stored -> adopt(stored, wallClock));
        this.createdMs = tables.nowMs();
        // Later deciders on the same gateway must start with a higher number, or gateways would ignore their notices as
        // outdated.
        this.sequence = wallClock.getAsLong();
    }

    /** Tells whether this decider decides on an order. */
    boolean decides(RolloutState other) {
        return state == other;
    }

    CollectedEvidence evidence() {
        return evidence;
    }

    private void adopt(RolloutProgress stored, LongSupplier wallClock) {
        state.learnAge(stored.ageAt(wallClock.getAsLong()), tables.nowMs());
        advance(new Transition(stored.phase(), "stored progress"));
    }

    /** Adds a gateway's report on this order, and returns the response. */
    PhaseNotice handle(EvidenceReport report) {
        state.learnAge(report.ageMs(), tables.nowMs());
        advance(new Transition(report.phase(), "reported by " + report.gateway()));
        evidence.add(report, state.ageMs(tables.nowMs()), tables.nowMs());
        return notice();
    }

    /** Returns what the gateways are to know now. */
    PhaseNotice notice() {
        return new PhaseNotice(
                state.order().service(),
                state.order().identity(),
                state.phase(),
                state.ageMs(tables.nowMs()),
                tables.peers().self().name(),
                sequence,
                canaries,
                evidence.limits());
    }

    /** Evaluates the reports, selects the canary endpoints and decides. To be called several times a second. */
    void tick() {
        long nowMs = tables.nowMs();
        progress.proceed();
        evidence.evaluate(period(), nowMs);
        selectCanaries(nowMs);
        if (completing) {
            statusWriter.write(state, RolloutPhase.COMPLETED);
        } else if (awaitingProgress.isPresent()) {
            enterFullOrRollBack(nowMs);
        } else if (mayDecide(nowMs)) {
            RolloutDecision.decide(situation(nowMs)).ifPresent(transition -> begin(transition, nowMs));
        }
        writeRunning();
    }

    /** Writes that the order is being carried out, again until the store shows that or a later state. */
    private void writeRunning() {
        boolean running = state.phase() == RolloutPhase.TRIAL || state.phase() == RolloutPhase.FULL;
        if (running && !completing && state.order().stored().isEmpty()) {
            statusWriter.write(state, state.phase());
        }
    }

    private void selectCanaries(long nowMs) {
        List<String> usable = usable(true);
        List<String> selected = state.phase() == RolloutPhase.TRIAL
                ? CanarySelection.select(
                        usable,
                        usable(false).size(),
                        settings.exposureShare(),
                        period().rotationMs(),
                        state.ageMs(nowMs))
                : List.of();
        if (!selected.equals(canaries)) {
            canaries = selected;
            sequence++;
        }
        long untilMs = nowMs + period().silenceMs(settings.rollbackMs());
        state.recordCanaries(tables.peers().self().name(), sequence, new HashSet<>(canaries), untilMs);
    }

    private ReportPeriod period() {
        return new ReportPeriod(tables.peers().names().size());
    }

    /** Announces the phase in which this decider begins; gateways that know a later one report at once. */
    void takeOver() {
        if (state.phase() != RolloutPhase.UNDECIDED) {
            selectCanaries(tables.nowMs());
            announce("taken over");
        }
    }

    private List<String> usable(boolean ofNewBuild) {
        return tables.endpoints().usable(state.order().service()).stream()
                .map(EndpointState::latest)
                .filter(endpoint -> state.isNew(endpoint.build()) == ofNewBuild)
                .map(endpoint -> endpoint.identifier())
                .toList();
    }

    /** Tells whether what others know has arrived. */
    private boolean mayDecide(long nowMs) {
        boolean heardAll = tables.peers().others().stream()
                .map(InstanceRecord::name)
                .filter(tables.peers()::isResponsive)
                .allMatch(evidence::hasReportOf);
        // The decision on a trial in progress must not wait for an unavailable store.
        boolean phaseKnown = progress.isKnown() || state.phase() != RolloutPhase.UNDECIDED;
        return phaseKnown && (heardAll || nowMs - createdMs >= COLLECTION_MS);
    }

    private Situation situation(long nowMs) {
        return new Situation(
                state.phase(),
                state.ageMs(nowMs),
                state.order().identity().durationMs(),
                state.inPhaseMs(nowMs),
                evidence.longRequestMs(),
                rejectedBy(),
                usable(true).size(),
                evidence.isOldBuildIdle(period(), nowMs));
    }

    private Optional<String> rejectedBy() {
        long endpoints = tables.endpoints().ofService(state.order().service()).stream()
                .filter(endpoint -> state.isNew(endpoint.latest().build()))
                .count();
        return evidence.test().rejectedBy(endpoints == 1);
    }

    private void begin(Transition transition, long nowMs) {
        switch (transition.phase()) {
            case TRIAL -> {
                advance(transition);
                progress.write(RolloutPhase.TRIAL);
            }
            case FULL -> {
                awaitingProgress = Optional.of(transition);
                awaitingSinceMs = nowMs;
                progress.write(RolloutPhase.FULL);
            }
            case COMPLETED -> {
                completing = true;
                statusWriter.write(state, RolloutPhase.COMPLETED);
            }
            case ROLLED_BACK -> rollBack(transition);
            case UNDECIDED -> throw new IllegalStateException("no transition leads to " + transition.phase());
        }
    }

    private void rollBack(Transition transition) {
        Events.warn(
                LOG,
                "rollout_verdict",
                "service",
                state.order().service(),
                "to",
                state.order().identity().to(),
                "reason",
                transition.reason(),
                "log_likelihood_ratio",
                evidence.test().evidenceSum(),
                "age_ms",
                state.ageMs(tables.nowMs()),
                "evidence",
                evidence.describe());
        advance(transition);
        statusWriter.write(state, RolloutPhase.ROLLED_BACK);
    }

    /** Enters the full phase once its progress is stored, or after a while without the store. */
    private void enterFullOrRollBack(long nowMs) {
        Optional<String> rejectedBy = rejectedBy();
        if (rejectedBy.isPresent()) {
            awaitingProgress = Optional.empty();
            rollBack(new Transition(RolloutPhase.ROLLED_BACK, "bad responses on " + rejectedBy.get()));
        } else if (progress.hasWritten(RolloutPhase.FULL) || nowMs - awaitingSinceMs >= PROGRESS_WAIT_MS) {
            Transition transition = awaitingProgress.get();
            awaitingProgress = Optional.empty();
            advance(transition);
        }
    }

    private void advance(Transition transition) {
        boolean entered = admission.advance(
                state.order().service(), state.order().identity(), transition.phase(), tables.nowMs());
        if (entered) {
            selectCanaries(tables.nowMs());
            announce(transition.reason());
        }
    }

    /** Announces the present phase to all gateways. */
    void announce(String reason) {
        sequence++;
        Events.info(
                LOG,
                "rollout_phase",
                "service",
                state.order().service(),
                "to",
                state.order().identity().to(),
                "phase",
                state.phase(),
                "reason",
                reason,
                "age_ms",
                state.ageMs(tables.nowMs()),
                "share",
                evidence.share(),
                "evidence",
                evidence.describe());
        announcer.announce(notice());
    }
}
