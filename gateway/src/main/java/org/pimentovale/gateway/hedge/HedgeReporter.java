package org.pimentovale.gateway.hedge;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.hedge.HedgeGrant;
import org.pimentovale.kernel.hedge.HedgeOwner;
import org.pimentovale.kernel.hedge.HedgeReport;
import org.pimentovale.kernel.hedge.HedgeReportRate;
import org.pimentovale.kernel.hedge.HedgeSettings;
import org.pimentovale.kernel.hedge.SharedHedging;
import org.pimentovale.kernel.time.ClockReading;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Exchanges reports and permits with the owners of the services' hedges, and grants the permits of the services that
 * this gateway owns.
 *
 * <p>Invariants: nothing is sent with a limit of 0, without another gateway, or without traffic to the service; one
 * report of a service is on its way at a time. Not thread safe; used on one event loop.
 */
public final class HedgeReporter {
    private static final Logger LOG = Logger.getLogger(HedgeReporter.class);
    private static final int REPORT_TIMEOUT_MS = 150;
    private static final int STATUS_OK = 200;
    private static final int FAILED_REPORTS_WITHOUT_OWNER = 2;
    private static final long WITHOUT_OWNER_MS = 3_000;
    // Two probes without a response take less than a second.
    private static final long PROBED_MS = 3_000;
    private static final String OWNER_KEY_PREFIX = "hedge:";

    private final Vertx vertx;
    private final GatewayTables tables;
    private final HedgeSettings settings;
    private final long windowMs;
    private final SharedHedging hedging;
    private final TimedHttpClient client;
    private final GatewayMetrics metrics;
    private final LongSupplier wallClock;
    // A gateway that is started again counts its reports from 1, and knows nothing of the requests reported to it.
    private final String process;
    private final Map<String, HedgeOwner> owners = new HashMap<>();
    private final Map<String, ServiceReports> services = new HashMap<>();

    /**
     * Creates a reporter that has nothing to report.
     *
     * @param vertx runs the timers
     * @param tables the gateways and the time
     * @param settings the operator's limit
     * @param windowMs the length of the window over which the limit applies, in milliseconds
     * @param client sends messages to peers
     * @param metrics counts the reports
     * @param wallClock the time of day in Unix milliseconds
     */
    public HedgeReporter(
            Vertx vertx,
            GatewayTables tables,
            HedgeSettings settings,
            long windowMs,
            TimedHttpClient client,
            GatewayMetrics metrics,
            LongSupplier wallClock) {
        this.vertx = vertx;
        this.tables = tables;
        this.settings = settings;
        this.windowMs = windowMs;
        this.hedging = new SharedHedging(settings, windowMs);
        this.client = client;
        this.metrics = metrics;
        this.wallClock = wallClock;
        this.process = tables.peers().self().name() + ":" + wallClock.getAsLong();
    }

    /**
     * Returns the decisions on second copies.
     *
     * @return the decisions, which follow the grants of the owners
     */
    public SharedHedging hedging() {
        return hedging;
    }

    /**
     * Returns the current time.
     *
     * @return a reading of both clocks
     */
    public ClockReading now() {
        return new ClockReading(tables.nowMs(), wallClock.getAsLong());
    }

    /**
     * Records that a request was sent for the first time.
     *
     * @param service the service's name
     */
    public void recordRequest(String service) {
        ServiceReports reports = reports(service);
        if (alone()) {
            reports.share().useOwnQuota(now());
        } else {
            if (!reports.ownerLost()) {
                reports.share().useSharedQuota(now());
            }
        }
        scheduleRegular(service, reports);
        hedging.recordRequest(service, now());
    }

    /**
     * Records the duration of a first copy, see {@link SharedHedging#recordDuration}.
     *
     * @param service the service's name
     * @param route the route's name
     * @param workSize the size of the request
     * @param durationMs the time since the copy was sent, in milliseconds
     */
    public void recordDuration(String service, String route, long workSize, long durationMs) {
        hedging.recordDuration(service, route, workSize, durationMs, now());
        scheduleRegular(service, reports(service));
    }

    /**
     * Asks the owner for a permit for a slow request.
     *
     * @param service the service's name
     * @return completes when the owner has responded or a response is not to be expected; never fails
     */
    public Future<Void> askPermit(String service) {
        ServiceReports reports = reports(service);
        if (!reports.share().shared()) {
            return Future.succeededFuture();
        }
        Future<Void> answered = reports.await();
        sendAsked(service, reports);
        return answered;
    }

    private boolean alone() {
        return tables.peers().others().isEmpty();
    }

    private ServiceReports reports(String service) {
        return services.computeIfAbsent(service, name -> new ServiceReports(hedging.share(name)));
    }

    private Optional<InstanceRecord> owner(String service) {
        return tables.peers().owner(OWNER_KEY_PREFIX + service);
    }

    private long intervalMs() {
        return HedgeReportRate.intervalMs(tables.peers().names().size(), services.size());
    }

    private void scheduleRegular(String service, ServiceReports reports) {
        if (!alone() && !reports.regularScheduled()) {
            long nowMs = tables.nowMs();
            long dueMs = HedgeReportRate.regularReportMs(reports.latestRegularMs(), nowMs, intervalMs());
            reports.setRegularTimer(vertx.setTimer(dueMs - nowMs, fired -> sendRegular(service, reports)));
        }
    }

    private void sendRegular(String service, ServiceReports reports) {
        reports.endRegularTimer(tables.nowMs());
        if (alone()) {
            return;
        }
        if (reports.underWay()) {
            scheduleRegular(service, reports);
        } else if (reports.share().hasNews()) {
            send(service, reports);
        }
    }

    /** Sends a report for the requests that wait for a permit, at once if the rate allows it. */
    private void sendAsked(String service, ServiceReports reports) {
        long nowMs = tables.nowMs();
        long dueMs = owner(service).isEmpty() ? nowMs : reports.latestAskMs() + intervalMs();
        if (reports.underWay() || reports.askScheduled() || !reports.anyWaiting()) {
            return;
        }
        if (nowMs >= dueMs) {
            reports.setLatestAskMs(nowMs);
            send(service, reports);
        } else {
            reports.setAskTimer(vertx.setTimer(dueMs - nowMs, fired -> {
                reports.endAskTimer();
                sendAsked(service, reports);
            }));
        }
    }

    private void send(String service, ServiceReports reports) {
        ClockReading sent = now();
        Runnable answer = reports.start();
        HedgeReport report = reports.share().report(process, service, reports.asked(), sent);
        Optional<InstanceRecord> owner = owner(service);
        Future<HedgeGrant> granted =
                owner.map(peer -> post(peer, report)).orElseGet(() -> Future.succeededFuture(grant(report)));
        granted.onComplete(result -> {
            reports.end();
            if (result.succeeded()) {
                metrics.recordHedgeReport(service, "answered");
                reports.recordResponse();
                reports.share().accept(result.result(), sent, now());
            } else {
                recordFailure(service, reports, owner, result.cause());
            }
            answer.run();
            sendAsked(service, reports);
        });
    }

    private String self() {
        return tables.peers().self().name();
    }

    private Future<HedgeGrant> post(InstanceRecord owner, HedgeReport report) {
        HttpCall call = new HttpCall(
                owner.address(),
                HttpMethod.POST,
                PeerPaths.HEDGE_REPORT,
                Optional.of(Buffer.buffer(Json.write(report))),
                REPORT_TIMEOUT_MS);
        metrics.recordHedgeReport(report.service(), "sent");
        return client.call(call, MultiMap.caseInsensitiveMultiMap()).map(response -> {
            if (response.status() != STATUS_OK) {
                throw ServingException.notRun(ErrorCode.PEER_UNAVAILABLE, "status " + response.status());
            }
            return Json.read(response.body().getBytes(), HedgeGrant.class);
        });
    }

    private void recordFailure(
            String service, ServiceReports reports, Optional<InstanceRecord> owner, Throwable failure) {
        metrics.recordHedgeReport(service, "failed");
        reports.recordFailure(tables.nowMs());
        boolean lost = reports.failures() >= FAILED_REPORTS_WITHOUT_OWNER
                && tables.nowMs() - reports.failingSinceMs() >= WITHOUT_OWNER_MS;
        Events.info(
                LOG,
                "hedge_report_failed",
                "service",
                service,
                "owner",
                owner.map(InstanceRecord::name).orElse(self()),
                "failures",
                reports.failures(),
                "own_quota",
                lost,
                "failure",
                failure.getMessage());
        if (lost) {
            reports.loseOwner();
            reports.share().useQuotaWithoutOwner(now());
        }
    }

    /**
     * Handles the report of another gateway that takes this one for the owner. A gateway that is not the owner by its
     * own table also grants permits, for the requests that are reported to it.
     *
     * @param received the report
     * @return the permits; fails if this gateway sends no hedges
     */
    public Future<HedgeGrant> handleReport(HedgeReport received) {
        if (!hedging.enabled()) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "hedges are off"));
        }
        metrics.recordHedgeReport(received.service(), "received");
        return Future.succeededFuture(grant(received.validated()));
    }

    private HedgeGrant grant(HedgeReport report) {
        HedgeOwner owner =
                owners.computeIfAbsent(report.service(), unused -> new HedgeOwner(process, settings, windowMs));
        HedgeGrant grant = owner.handle(report, now());
        if (report.wantedPermits() > 0) {
            Events.info(
                    LOG,
                    "hedge_permits",
                    "service",
                    report.service(),
                    "gateway",
                    report.gateway(),
                    "wanted",
                    report.wantedPermits(),
                    "permits",
                    grant.permits(),
                    "requests",
                    owner.requests(),
                    "granted",
                    owner.granted(),
                    "service_slow",
                    owner.serviceSlow());
        }
        return grant;
    }

    /**
     * Returns the keys whose owners did not respond to the latest report a short time ago, so that they are probed and
     * another gateway becomes the owner if they are lost.
     *
     * @return the keys for {@link org.pimentovale.gateway.peer.PeerTable#owner}
     */
    public List<String> unresponsiveOwnerKeys() {
        return services.entrySet().stream()
                .filter(entry -> entry.getValue().failedSince(tables.nowMs() - PROBED_MS))
                .map(entry -> OWNER_KEY_PREFIX + entry.getKey())
                .toList();
    }

    /** Stops the timers. */
    public void close() {
        services.values().forEach(reports -> reports.cancelTimers(vertx));
    }
}
