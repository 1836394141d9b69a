package org.pimentovale.gateway.rollout;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.RolloutStore;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.rollout.BuildAdmission;
import org.pimentovale.kernel.rollout.ReportPeriod;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.kernel.rollout.RolloutPhase;
import org.pimentovale.kernel.rollout.RolloutSettings;
import org.pimentovale.kernel.rollout.RolloutState;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Carries out the orders for roll-outs: reports to the deciders, applies the phases that they decide, and decides on
 * the orders that this gateway owns.
 *
 * <p>The timer runs only while an order is not final or something remains to be written or announced. Not thread safe;
 * used on one event loop.
 */
public final class Rollouts {
    private static final Logger LOG = Logger.getLogger(Rollouts.class);
    private static final int TICK_MS = 250;
    private static final int TICKS_PER_OWN_REPORT = 2;
    private static final long MAX_TICK_GAP_MS = 1_500;
    private static final int REPORT_TIMEOUT_MS = 400;
    private static final int CONFIRM_INTERVAL_MS = 300;
    private static final int STATUS_OK = 200;
    private static final String OWNER_KEY_PREFIX = "rollout:";

    private final Vertx vertx;
    private final GatewayTables tables;
    private final RolloutSettings settings;
    private final RolloutStore store;
    private final TimedHttpClient client;
    private final GatewayMetrics metrics;
    private final Supplier<Future<Long>> confirmOrders;
    private final LongSupplier wallClock;
    private final BuildAdmission admission;
    private final RolloutEvidence evidence;
    private final StatusWriter statusWriter;
    private final PhaseAnnouncer announcer;
    private final Map<String, ServiceDecider> deciders = new HashMap<>();
    private final Map<String, ReportTimer> reportTimers = new HashMap<>();
    private final Map<String, RolloutPhase> shownPhases = new HashMap<>();
    private long timer = -1;
    private long ticks;
    private long lastTickWallMs;

    /**
     * Creates roll-outs without orders, which the tables' requests follow from now on.
     *
     * @param vertx runs the timer
     * @param tables the gateway's state
     * @param settings the bounds that roll-outs keep
     * @param store holds status and progress
     * @param client sends messages to peers
     * @param metrics shows phases and responses
     * @param confirmOrders asks the store for the changes of orders up to now and applies them
     * @param wallClock the time of day in Unix milliseconds
     */
    public Rollouts(
            Vertx vertx,
            GatewayTables tables,
            RolloutSettings settings,
            RolloutStore store,
            TimedHttpClient client,
            GatewayMetrics metrics,
            Supplier<Future<Long>> confirmOrders,
            LongSupplier wallClock) {
        this.vertx = vertx;
        this.tables = tables;
        this.settings = settings;
        this.store = store;
        this.client = client;
        this.metrics = metrics;
        this.confirmOrders = confirmOrders;
        this.wallClock = wallClock;
        this.admission = new BuildAdmission(
                tables.endpoints(), settings, tables.peers().self().name(), this::confirmBuild);
        this.evidence = new RolloutEvidence(admission, tables::nowMs, metrics, this::reportBadResponse);
        this.statusWriter = new StatusWriter(store, admission, tables::nowMs, this::confirmOrders);
        this.announcer = new PhaseAnnouncer(tables, client);
        tables.enableRollouts(evidence);
    }

    private void confirmOrders() {
        confirmOrders
                .get()
                .onFailure(failure -> Events.info(LOG, "rollouts_not_confirmed", "failure", failure.getMessage()));
    }

    private void confirmBuild(String service, String build) {
        Events.info(LOG, "build_held", "service", service, "build", build);
        confirmAndRelease(service, build);
    }

    private void confirmAndRelease(String service, String build) {
        confirmOrders
                .get()
                .onSuccess(confirmed -> admission.release(service, build))
                .onFailure(failure -> vertx.setTimer(CONFIRM_INTERVAL_MS, fired -> {
                    if (admission.isHeld(service, build, tables.nowMs())) {
                        confirmAndRelease(service, build);
                    }
                }));
    }

    /** Returns the services that have an order. */
    Set<String> services() {
        Set<String> services = new HashSet<>();
        admission.all().forEach(state -> services.add(state.order().service()));
        return services;
    }

    /**
     * Returns the keys whose owners decide on an order or still have to write its final state.
     *
     * @return the keys for {@link org.pimentovale.gateway.peer.PeerTable#owner}
     */
    public List<String> ownerKeys() {
        return admission.all().stream()
                .filter(Rollouts::needsWork)
                .map(state -> OWNER_KEY_PREFIX + state.order().service())
                .toList();
    }

    /** Adds an order that the store shows, or a later state of it. */
    void put(RolloutOrder order) {
        Optional<RolloutPhase> before = phase(order.service());
        boolean added = admission.put(order, tables.nowMs());
        if (!added && !before.equals(phase(order.service()))) {
            logPhase(order, phase(order.service()).orElseThrow(), "shown by the store");
        }
        if (added) {
            Events.info(
                    LOG,
                    "rollout_order",
                    "service",
                    order.service(),
                    "to",
                    order.identity().to(),
                    "duration_ms",
                    order.identity().durationMs(),
                    "create_revision",
                    order.identity().createRevision(),
                    "stored",
                    order.stored().map(RolloutPhase::state).orElse("none"));
        }
        showPhases();
        startTimer();
    }

    private Optional<RolloutPhase> phase(String service) {
        return admission.find(service).map(RolloutState::phase);
    }

    private static void logPhase(RolloutOrder order, RolloutPhase phase, String reason) {
        Events.info(
                LOG,
                "rollout_phase",
                "service",
                order.service(),
                "to",
                order.identity().to(),
                "phase",
                phase,
                "reason",
                reason);
    }

    /** Ends the order of a service, whose object was deleted. */
    void withdraw(String service) {
        admission
                .withdraw(service, tables.nowMs())
                .ifPresent(order -> Events.info(
                        LOG,
                        "rollout_order_withdrawn",
                        "service",
                        service,
                        "to",
                        order.identity().to()));
        deciders.remove(service);
        endReports(service);
        showPhases();
    }

    /** Has the ends of orders written again, since the store was restored to an older state. */
    void forgetStoredEnds() {
        admission.all().forEach(state -> {
            RolloutOrder order = state.order();
            RolloutOrder unwritten =
                    new RolloutOrder(order.service(), order.identity(), Optional.empty(), order.revision());
            admission.put(unwritten, tables.nowMs());
        });
        startTimer();
    }

    /** Forgets builds that are not listed any more. To be called periodically. */
    public void observeBuilds() {
        admission.observeBuilds(tables.nowMs());
    }

    private void startTimer() {
        if (timer < 0 && admission.all().stream().anyMatch(Rollouts::needsWork)) {
            lastTickWallMs = wallClock.getAsLong();
            timer = vertx.setPeriodic(TICK_MS, fired -> tick());
            vertx.runOnContext(run -> tick());
        }
    }

    /**
     * Discards the deciders and the canary selections after a suspension of this process, since another gateway may
     * have decided meanwhile. The monotonic clock may not have counted that time.
     */
    private void noteSuspension() {
        long nowWallMs = wallClock.getAsLong();
        if (nowWallMs - lastTickWallMs > MAX_TICK_GAP_MS) {
            Events.info(LOG, "rollouts_suspended", "gap_ms", nowWallMs - lastTickWallMs);
            deciders.clear();
            admission.all().forEach(RolloutState::forgetDecider);
        }
        lastTickWallMs = nowWallMs;
    }

    private static boolean needsWork(RolloutState state) {
        return !state.phase().isFinal() || state.unwrittenEnd().isPresent();
    }

    /** Stops the timer. */
    public void close() {
        vertx.cancelTimer(timer);
        reportTimers.values().forEach(ReportTimer::cancel);
    }

    private void tick() {
        ticks++;
        noteSuspension();
        announcer.repeat();
        admission.all().forEach(this::tick);
        showPhases();
        if (announcer.isIdle() && admission.all().stream().noneMatch(Rollouts::needsWork)) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    private void tick(RolloutState state) {
        String service = state.order().service();
        Optional<InstanceRecord> owner = owner(service);
        Optional<RolloutPhase> unwrittenEnd = state.unwrittenEnd();
        if (owner.isEmpty() && unwrittenEnd.isPresent()) {
            statusWriter.write(state, unwrittenEnd.get());
        }
        if (state.phase().isFinal()) {
            endDecider(state);
            reportEnd(state, owner);
        } else if (owner.isEmpty()) {
            ServiceDecider decider = decider(state);
            if (ticks % TICKS_PER_OWN_REPORT == 0) {
                apply(state, decider.handle(evidence.report(state, self(), false)));
            }
            decider.tick();
        } else {
            deciders.remove(service);
            reportTimer(state).reportIfDue();
        }
    }

    private String self() {
        return tables.peers().self().name();
    }

    /** Returns the gateway that decides on a service's order, empty if it is this one. */
    private Optional<InstanceRecord> owner(String service) {
        return tables.peers().owner(OWNER_KEY_PREFIX + service);
    }

    /** Announces a completion once the store shows it, and forgets the evidence. */
    private void endDecider(RolloutState state) {
        ServiceDecider ended = deciders.get(state.order().service());
        if (ended != null && state.unwrittenEnd().isEmpty()) {
            deciders.remove(state.order().service());
            if (ended.decides(state) && state.phase() == RolloutPhase.COMPLETED) {
                ended.announce("completion stored");
            }
        }
    }

    private ServiceDecider decider(RolloutState state) {
        ServiceDecider known = deciders.get(state.order().service());
        if (known == null || !known.decides(state)) {
            known = new ServiceDecider(tables, settings, admission, state, store, statusWriter, announcer, wallClock);
            deciders.put(state.order().service(), known);
            known.takeOver();
        }
        return known;
    }

    /** Reports a final phase until the store shows it, since a decider that takes over may not know it. */
    private void reportEnd(RolloutState state, Optional<InstanceRecord> owner) {
        if (owner.isPresent() && state.unwrittenEnd().isPresent()) {
            reportTimer(state).reportIfDue();
        } else {
            endReports(state.order().service());
        }
    }

    private ReportTimer reportTimer(RolloutState state) {
        ReportTimer known = reportTimers.get(state.order().service());
        if (known == null || !known.reportsOn(state)) {
            endReports(state.order().service());
            known = new ReportTimer(vertx, tables, state, this::report);
            reportTimers.put(state.order().service(), known);
        }
        return known;
    }

    private void reportBadResponse(RolloutState state) {
        if (owner(state.order().service()).isPresent()) {
            reportTimer(state).reportSoon();
        }
    }

    private void endReports(String service) {
        Optional.ofNullable(reportTimers.remove(service)).ifPresent(ReportTimer::cancel);
    }

    private void report(RolloutState state, boolean early) {
        owner(state.order().service()).ifPresent(owner -> report(state, owner, early));
    }

    private void report(RolloutState state, InstanceRecord owner, boolean early) {
        Buffer body = Buffer.buffer(Json.write(evidence.report(state, self(), early)));
        HttpCall call = new HttpCall(
                owner.address(), HttpMethod.POST, PeerPaths.ROLLOUT_EVIDENCE, Optional.of(body), REPORT_TIMEOUT_MS);
        client.call(call, MultiMap.caseInsensitiveMultiMap())
                .onSuccess(response -> {
                    if (response.status() == STATUS_OK) {
                        handleNotice(Json.read(response.body().getBytes(), PhaseNotice.class));
                    }
                })
                .onFailure(failure -> Events.info(
                        LOG, "rollout_report_failed", "peer", owner.name(), "failure", failure.getMessage()));
    }

    /**
     * Handles a report of another gateway.
     *
     * @param received the report
     * @return the phase; fails if this gateway does not know the order
     */
    public Future<PhaseNotice> handleReport(EvidenceReport received) {
        EvidenceReport report = received.validated();
        Optional<RolloutState> known = admission.find(report.service());
        Optional<RolloutState> same =
                known.filter(state -> state.order().identity().equals(report.identity()));
        if (same.isEmpty()) {
            admission.holdUnknownTarget(report.service(), report.identity().to(), tables.nowMs());
        }
        if (same.isEmpty()) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "unknown order"));
        }
        if (same.get().phase().isFinal() || owner(report.service()).isPresent()) {
            return Future.succeededFuture(noticeWithoutCanaries(same.get()));
        }
        return Future.succeededFuture(decider(same.get()).handle(report));
    }

    /** Returns the known phase; a gateway that does not decide names no canary endpoints, so that no trial goes on. */
    private PhaseNotice noticeWithoutCanaries(RolloutState state) {
        return new PhaseNotice(
                state.order().service(),
                state.order().identity(),
                state.phase(),
                state.ageMs(tables.nowMs()),
                self(),
                wallClock.getAsLong(),
                List.of(),
                List.of());
    }

    /**
     * Handles what a decider says of an order.
     *
     * @param notice the notice
     */
    public void handleNotice(PhaseNotice notice) {
        Optional<RolloutState> same = admission
                .find(notice.service())
                .filter(state -> state.order().identity().equals(notice.identity()));
        if (same.isPresent()) {
            apply(same.get(), notice);
        } else if (notice.phase() == RolloutPhase.FULL || notice.phase() == RolloutPhase.COMPLETED) {
            // The build serves all requests, also those of a gateway that the order does not reach.
            admission.release(notice.service(), notice.identity().to());
        } else {
            admission.holdUnknownTarget(notice.service(), notice.identity().to(), tables.nowMs());
        }
    }

    private void apply(RolloutState state, PhaseNotice notice) {
        long nowMs = tables.nowMs();
        state.learnAge(notice.ageMs(), nowMs);
        if (admission.advance(notice.service(), notice.identity(), notice.phase(), nowMs)) {
            logPhase(state.order(), notice.phase(), "decided by " + notice.decider());
        }
        if (state.phase().follows(notice.phase()) && owner(notice.service()).isPresent()) {
            // The decider does not know this phase and must not decide on an earlier one.
            reportTimer(state).reportPhase();
        } else {
            Optional.ofNullable(reportTimers.get(notice.service())).ifPresent(ReportTimer::phaseKnown);
        }
        if (!state.phase().isFinal()) {
            long silenceMs = new ReportPeriod(tables.peers().names().size()).silenceMs(settings.rollbackMs());
            state.recordCanaries(
                    notice.decider(), notice.sequence(), new HashSet<>(notice.canaries()), nowMs + silenceMs);
            evidence.setLimits(state, notice.limits());
        }
        showPhases();
        startTimer();
    }

    /** Shows the phases in the metrics. */
    private void showPhases() {
        Map<String, RolloutPhase> current = new HashMap<>();
        admission.all().forEach(state -> current.put(state.order().service(), state.phase()));
        if (!current.equals(shownPhases)) {
            metrics.showRolloutPhases(current);
            shownPhases.clear();
            shownPhases.putAll(current);
        }
    }

    /**
     * Describes what this gateway knows of the orders, for the operators' tool.
     *
     * @return a JSON array in UTF-8
     */
    public byte[] overview() {
        return RolloutOverview.encode(
                admission.all(), tables, state -> evidence.report(state, self(), false), deciders::get);
    }
}
