package org.pimentovale.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.caller.CallerListener;
import org.pimentovale.gateway.caller.GatewayState;
import org.pimentovale.gateway.caller.RequestServices;
import org.pimentovale.gateway.endpoint.ConnectionProbe;
import org.pimentovale.gateway.endpoint.EndpointClient;
import org.pimentovale.gateway.endpoint.EndpointResponseObserver;
import org.pimentovale.gateway.feed.ConfirmedStateClient;
import org.pimentovale.gateway.feed.ContactRoles;
import org.pimentovale.gateway.feed.CountingStore;
import org.pimentovale.gateway.feed.InstanceRegistration;
import org.pimentovale.gateway.feed.RejectedObjects;
import org.pimentovale.gateway.feed.StoreSynchronizer;
import org.pimentovale.gateway.hedge.HedgeReporter;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.peer.OwnerUse;
import org.pimentovale.gateway.peer.PeerListener;
import org.pimentovale.gateway.peer.PeerMonitor;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.peer.PeerTable;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.rollout.RolloutFeedListener;
import org.pimentovale.gateway.rollout.Rollouts;
import org.pimentovale.gateway.settings.GatewaySettings;
import org.pimentovale.gateway.stage.StageClient;
import org.pimentovale.gateway.stage.StageDispatcher;
import org.pimentovale.gateway.stage.StageDispatchers;
import org.pimentovale.gateway.stage.StageEndpointClient;
import org.pimentovale.gateway.stream.CheckpointedHistory;
import org.pimentovale.gateway.stream.StreamOrigins;
import org.pimentovale.gateway.suspect.SuspectTracker;
import org.pimentovale.kernel.batch.StageQueue;
import org.pimentovale.kernel.history.StoreReadBudget;
import org.pimentovale.kernel.limit.BodyMemory;
import org.pimentovale.kernel.limit.ResponseMemory;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.shutdown.ShutdownAdmission;
import org.pimentovale.kernel.stream.BuildHistory;
import org.pimentovale.kernel.stream.RouteHistory;
import org.pimentovale.kernel.time.ClockReading;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * An entry instance that forwards callers' HTTP requests to endpoints unchanged. It owns the listeners, the clients and
 * the periodic tasks of the instance.
 *
 * <p>Invariant: everything runs on one event loop, so the tables need no locks. Thread safe after construction.
 */
public final class Gateway {
    private static final Logger LOG = Logger.getLogger(Gateway.class);
    private static final int OBSERVATION_INTERVAL_MS = 1_000;
    // The tables and the work in progress take about a quarter of the heap; the rest is room for short-lived objects.
    private static final double BODY_MEMORY_SHARE = 0.375;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String METRICS_PATH = "/metrics";

    private final Vertx vertx;
    private final GatewaySettings settings;
    private final GatewayTables tables;
    private final GatewayState state = new GatewayState(new ShutdownAdmission());
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ServingPlatform platform;
    private final RejectedObjects rejectedObjects = new RejectedObjects(metrics);
    private final BodyMemory bodyMemory =
            new BodyMemory((long) (BODY_MEMORY_SHARE * Runtime.getRuntime().maxMemory()));
    private final InstanceRecord self;
    private final StageDispatchers stageDispatchers;
    private final StageClient stageClient;
    private final SuspectTracker suspects;
    private final CheckpointedHistory history;
    private final StreamOrigins origins;
    private final InstanceRegistration registration;
    private final StoreSynchronizer synchronizer;
    private final PeerMonitor monitor;
    private final CallerListener callerListener;
    private final PeerListener peerListener;
    private final HedgeReporter hedges;
    private final Optional<Rollouts> rollouts;
    private final GatewayClients clients;
    private final GatewayServers servers;
    private final GatewayShutdown shutdown;
    private long observationTimer = -1;
    private int callerPort;
    private int readinessPort;
    private String peerAddress;

    /**
     * Creates a gateway; {@link #start} opens its listeners.
     *
     * @param vertx the Vert.x instance, which must have exactly one event loop
     * @param settings the validated settings
     * @param platform the plug-in with the wire formats of the platform
     * @param clock the source of monotonic time
     * @param random the source of jitter for retries
     */
    public Gateway(
            Vertx vertx,
            GatewaySettings settings,
            ServingPlatform platform,
            MonotonicClock clock,
            RandomGenerator random) {
        this.vertx = vertx;
        this.settings = settings;
        this.platform = platform;
        this.self = new InstanceRecord(settings.name(), settings.peerAddress(), settings.zone(), settings.linkMbps());
        this.tables = new GatewayTables(
                clock,
                new PeerTable(self),
                settings.retry(),
                settings.features().engineMemory());
        this.clients = new GatewayClients(vertx);
        this.servers = new GatewayServers(vertx);
        PlatformStore store = new CountingStore(
                platform.openStore(clients.storeCalls(), settings.storeAddress(), rejectedObjects), metrics);
        TimedHttpClient peerCalls = clients.peerCalls();
        RequestPermits permits = new RequestPermits(tables, peerCalls);
        EndpointResponseObserver observer = new EndpointResponseObserver(tables, permits, metrics);
        StageEndpointClient stageEndpointClient = new StageEndpointClient(
                vertx,
                clients.stageCalls(),
                clients.releaseCalls(),
                tables,
                permits,
                observer,
                platform.stageCodec(),
                platform.endpointCodec());
        this.stageDispatchers = new StageDispatchers(service -> new StageDispatcher(
                vertx,
                tables,
                stageEndpointClient,
                permits,
                metrics,
                service,
                new StageQueue(settings.features().fairQueueing())));
        this.stageClient = new StageClient(tables, peerCalls, stageDispatchers);
        OwnerUse owners = new OwnerUse(tables, stageClient, this::busy, this::decisionKeys);
        this.monitor = new PeerMonitor(
                vertx,
                tables,
                peerCalls,
                owners::ownedKeys,
                owners::dependsOn,
                stageClient::resubmitFrom,
                this::noteContact);
        EndpointClient endpointClient = new EndpointClient(clients.requests());
        this.suspects = new SuspectTracker(vertx, tables, peerCalls, store);
        this.registration = new InstanceRegistration(vertx, store, state::draining);
        this.synchronizer = new StoreSynchronizer(
                vertx,
                store,
                platform.objectReader(),
                rejectedObjects,
                tables,
                suspects,
                random,
                this::tablesChanged,
                registration,
                new ConfirmedStateClient(tables.peers(), peerCalls),
                new ContactRoles(
                        new StoreReadBudget(
                                settings.features().storeReadsPerSecond(), StoreSynchronizer.SHORT_WAITS_MS),
                        tables.peers(),
                        owners::ownedKeys,
                        clock),
                settings.features().storeSilence());
        this.rollouts = settings.features()
                .rollout()
                .map(bounds -> new Rollouts(
                        vertx,
                        tables,
                        bounds,
                        store.rollouts(),
                        peerCalls,
                        metrics,
                        () -> synchronizer.confirm(ObjectKind.ROLLOUTS),
                        System::currentTimeMillis));
        rollouts.ifPresent(known -> synchronizer.addRolloutFeed(
                store, random, new RolloutFeedListener(platform.objectReader(), metrics, known)));
        BuildHistory builds = new BuildHistory();
        RouteHistory routes = new RouteHistory();
        this.history = new CheckpointedHistory(tables, store, platform.objectReader(), synchronizer, builds, routes);
        this.origins = new StreamOrigins(tables, peerCalls, builds, routes, history::confirm);
        ConnectionProbe probe = new ConnectionProbe(clients.connections());
        this.hedges = new HedgeReporter(
                vertx,
                tables,
                settings.features().hedge(),
                settings.retry().windowMs(),
                peerCalls,
                metrics,
                System::currentTimeMillis);
        ResponseMemory responseMemory = new ResponseMemory(settings.features().responseMemoryBytes(), tables::nowMs);
        RequestServices services = new RequestServices(
                vertx,
                endpointClient,
                probe,
                observer,
                platform.endpointCodec(),
                stageClient,
                suspects,
                permits,
                origins,
                state.shutdown(),
                hedges,
                responseMemory,
                metrics,
                platform.stageCodec()::addressOf);
        this.callerListener = new CallerListener(tables, state, platform.callerCodec(), services, bodyMemory);
        metrics.registerGauge(
                "pimentovale_gateway_configuration_version",
                "Version of the configuration in force.",
                () -> tables.configuration().map(ServingConfiguration::version).orElse(-1L));
        metrics.registerGauge(
                "pimentovale_gateway_body_bytes", "Memory reserved for request bodies.", bodyMemory::reservedBytes);
        metrics.registerGauge(
                "pimentovale_gateway_response_bytes",
                "Memory reserved for responses that callers have not read yet.",
                responseMemory::reservedBytes);
        metrics.registerGauge("pimentovale_gateway_requests_running", "Requests that run now.", state::runningCount);
        metrics.registerGauge(
                "pimentovale_gateway_stage_tickets",
                "Stages that wait or run here as an owner.",
                stageDispatchers::openTickets);
        metrics.registerGauge(
                "pimentovale_gateway_quarantined_keys",
                "Requests and prompt parts that are not run because endpoints were lost while they ran them.",
                suspects::quarantinedCount);
        metrics.registerGauges(
                "pimentovale_gateway_state_age_seconds",
                "Time since the store was known to have no further change, by kind of object.",
                "kind",
                synchronizer::agesSeconds);
        this.peerListener = new PeerListener(
                tables,
                stageDispatchers,
                suspects,
                permits,
                origins,
                synchronizer::confirmedState,
                synchronizer::contactReport,
                state::draining,
                clock.nowMs(),
                rollouts,
                hedges);
        this.shutdown = new GatewayShutdown(
                vertx,
                settings.shutdownTimeoutMs(),
                tables,
                state,
                stageDispatchers,
                callerListener,
                registration,
                synchronizer,
                servers);
    }

    private void tablesChanged() {
        observeTables();
        stageDispatchers.dispatchAll();
        callerListener.admitHeld();
    }

    private void observeTables() {
        tables.observeInstances();
        if (tables.ready()) {
            origins.observeBuilds();
        }
    }

    private List<String> decisionKeys() {
        List<String> keys = new ArrayList<>(hedges.unresponsiveOwnerKeys());
        rollouts.map(Rollouts::ownerKeys).ifPresent(keys::addAll);
        return keys;
    }

    private void noteContact(MultiMap headers, ClockReading asked) {
        Optional.ofNullable(headers.get(PeerPaths.STORE_CONTACT))
                .ifPresent(report -> synchronizer.noteContact(report, asked));
    }

    /**
     * Opens the listeners and starts the periodic tasks.
     *
     * @return completes once the listeners are open; fails if an address cannot be bound
     */
    public Future<Void> start() {
        return servers.listen(settings.readinessAddress(), this::handleReadinessOrMetrics)
                .compose(port -> {
                    readinessPort = port;
                    return servers.listen(settings.peerAddress(), peerListener::handle);
                })
                .compose(port -> {
                    peerAddress = GatewayServers.hostOf(settings.peerAddress()) + ":" + port;
                    return servers.listen(
                            settings.callerAddress(), callerListener::handle, callerListener::handleConnection);
                })
                .onSuccess(port -> {
                    callerPort = port;
                    synchronizer.start();
                    monitor.start();
                    suspects.start();
                    observationTimer = vertx.setPeriodic(OBSERVATION_INTERVAL_MS, fired -> {
                        observeTables();
                        history.storePeriodically();
                        rollouts.ifPresent(Rollouts::observeBuilds);
                        peerListener.closeSilentPeers();
                    });
                    registration.register(new InstanceRecord(self.name(), peerAddress, self.zone(), self.linkMbps()));
                    Events.info(
                            LOG,
                            "gateway_started",
                            "name",
                            settings.name(),
                            "zone",
                            settings.zone(),
                            "caller_port",
                            callerPort,
                            "readiness_port",
                            readinessPort,
                            "peer_address",
                            peerAddress);
                })
                .mapEmpty();
    }

    /**
     * Returns the bound port of the callers' listener.
     *
     * @return the port, zero before the gateway has started
     */
    public int callerPort() {
        return callerPort;
    }

    /**
     * Returns the bound port for the load balancer's readiness check and the metrics.
     *
     * @return the port, zero before the gateway has started
     */
    public int readinessPort() {
        return readinessPort;
    }

    /**
     * Tells whether callers' requests can be served.
     *
     * @return whether the configuration, the endpoints, the withdrawn zones and the quarantined keys have been loaded
     */
    public boolean ready() {
        return tables.ready();
    }

    /**
     * Tells whether callers' requests are in progress.
     *
     * @return whether at least one is
     */
    public boolean busy() {
        return state.runningCount() > 0;
    }

    /**
     * Returns the number of other gateways that this one knows.
     *
     * @return the number, responsive or not
     */
    public int knownPeers() {
        return tables.peers().others().size();
    }

    /** Closes all listeners and connections and stops the periodic tasks at once, without draining. */
    public void close() {
        synchronizer.stop();
        monitor.stop();
        vertx.cancelTimer(observationTimer);
        servers.close();
        clients.close();
        suspects.close();
        rollouts.ifPresent(Rollouts::close);
        hedges.close();
    }

    private void handleReadinessOrMetrics(HttpServerRequest http) {
        if (http.path().equals(METRICS_PATH)) {
            http.response()
                    .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                    .end(Buffer.buffer(metrics.render()));
            return;
        }
        boolean ready =
                http.path().equals(platform.callerCodec().readinessPath()) && tables.ready() && !state.draining();
        http.response().setStatusCode(ready ? 200 : STATUS_UNAVAILABLE).end();
    }

    /**
     * Shuts down gracefully, as {@link GatewayShutdown} describes.
     *
     * @return completes once nothing runs or the shutdown time is over
     */
    public Future<Void> drain() {
        Promise<Void> drained = Promise.promise();
        vertx.runOnContext(run -> shutdown.drain().onComplete(drained));
        return drained.future();
    }
}
