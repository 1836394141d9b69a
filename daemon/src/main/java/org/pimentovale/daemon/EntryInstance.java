package org.pimentovale.daemon;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.caller.InstanceState;
import org.pimentovale.daemon.caller.PipelineListener;
import org.pimentovale.daemon.caller.PipelineServices;
import org.pimentovale.daemon.claim.ClaimLedger;
import org.pimentovale.daemon.claim.ClaimRecovery;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.daemon.configuration.ConfigurationWatch;
import org.pimentovale.daemon.endpoint.LoadProbe;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.daemon.http.ListenerOptions;
import org.pimentovale.daemon.log.RequestTrace;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.daemon.operator.OperatorListener;
import org.pimentovale.daemon.peer.PeerExchange;
import org.pimentovale.daemon.peer.PeerListener;
import org.pimentovale.daemon.protocol.StageProtocol;
import org.pimentovale.daemon.settings.DaemonSettings;
import org.pimentovale.daemon.settings.ListenerSettings;
import org.pimentovale.daemon.suspect.SuspectPermits;
import org.pimentovale.daemon.warmup.WarmupLeaseManager;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.kernel.routing.RoutingPolicy;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.plugin.PluginRegistry;
import org.pimentovale.store.Platform;
import org.pimentovale.store.PlatformPlugin;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.TablesFile;
import org.pimentovale.table.TablesReader;
import org.pimentovale.toml.TomlProblem;

/**
 * An entry instance: creates the listeners, the tables and the background tasks from the settings.
 *
 * <p>Invariant: callers are served only after the peer listener is open, because the instance's registration contains
 * its address.
 * Thread safe after {@link #start()}.
 */
public final class EntryInstance {
    private static final Logger LOG = Logger.getLogger(EntryInstance.class);
    private static final int MAX_TRACED_REQUESTS = 5_000;
    private static final int DRAIN_CHECK_PERIOD_MS = 20;
    private static final int ISOLATION_CHECK_PERIOD_MS = 250;
    private static final long ISOLATION_THRESHOLD_MS = 3_000;
    private static final int NAME_SUFFIX_MASK = 0xffffff;

    private final Vertx vertx;
    private final DaemonSettings settings;
    private final MonotonicClock clock;
    private final Clock wallClock;
    private final Random random;
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final RequestTrace trace = new RequestTrace(MAX_TRACED_REQUESTS);
    private final StoreHealth health;
    private final Platform platform;
    private final AccessKey peerKey;
    private final AccessKey operatorKey;
    private final AtomicReference<Handler<HttpServerRequest>> peerHandler = unavailableHandler();
    private final AtomicReference<Handler<HttpServerRequest>> operatorHandler = unavailableHandler();
    private ServingTables tables;
    private InstanceState state;
    private ClaimRecovery claimRecovery;
    private ClaimLedger ledger;
    private PeerExchange peerExchange;
    private MemberRegistration registration;
    private WarmupLeaseManager leases;

    /**
     * Creates an instance that is not started.
     *
     * @param vertx provides the event loops of all components
     * @param settings the validated settings
     * @param clock the monotonic clock for timeouts and leases
     * @param wallClock the clock for the age of idempotency keys
     * @param random the source of randomness; thread safe
     */
    public EntryInstance(Vertx vertx, DaemonSettings settings, MonotonicClock clock, Clock wallClock, Random random) {
        this.vertx = vertx;
        this.settings = settings;
        this.clock = clock;
        this.wallClock = wallClock;
        this.random = random;
        this.health = new StoreHealth(clock);
        this.platform = new PluginRegistry<>(PlatformPlugin.class)
                .get(settings.platformPlugin())
                .open(vertx, settings.platformAddress(), settings.platformTimeoutMs());
        this.peerKey = AccessKey.read(settings.peerListener().keyFile().orElseThrow());
        this.operatorKey = AccessKey.read(settings.operatorListener().keyFile().orElseThrow());
    }

    /**
     * Opens the listeners and starts the background tasks.
     *
     * @return a future that completes once callers are served
     */
    public Future<Void> start() {
        // The registered addresses are known only once both listeners are bound to their ports.
        return openListener(settings.peerListener(), peerHandler)
                .compose(peerPort -> openListener(settings.operatorListener(), operatorHandler)
                        .compose(operatorPort -> startComponents(peerPort, operatorPort)));
    }

    private Future<Integer> openListener(
            ListenerSettings listener, AtomicReference<Handler<HttpServerRequest>> handler) {
        return vertx.createHttpServer(ListenerOptions.create(listener))
                .requestHandler(http -> handler.get().handle(http))
                .listen()
                .map(HttpServer::actualPort);
    }

    private static AtomicReference<Handler<HttpServerRequest>> unavailableHandler() {
        return new AtomicReference<>(http -> http.response().setStatusCode(503).end());
    }

    private Future<Void> startComponents(int peerPort, int operatorPort) {
        String suffix = Integer.toHexString(random.nextInt() & NAME_SUFFIX_MASK);
        Member self = new Member(
                settings.name() + "-" + suffix,
                settings.zone(),
                settings.peerListener().host() + ":" + peerPort,
                settings.operatorListener().host() + ":" + operatorPort);
        RoutingPolicy policy = new PluginRegistry<>(RoutingPolicy.class).get(settings.routingPolicy());
        tables = new ServingTables(
                clock,
                pool -> new SplittableRandom(random.nextLong() ^ pool),
                policy,
                new MemberTable(self),
                settings.maxQueuedRequests());
        metrics.registerRevisionGauge(tables.configuration()::revision);
        state = new InstanceState(tables, settings.balancerLagMs());
        peerExchange = new PeerExchange(
                vertx,
                tables,
                peerKey,
                settings.peerListener().certificateFile(),
                metrics,
                random,
                settings.peerSeeds());
        claimRecovery =
                new ClaimRecovery(vertx, platform.objectStore(), health, clock, wallClock, metrics, peerExchange);
        ledger = new ClaimLedger(vertx, platform.objectStore(), health, clock, metrics, claimRecovery, self.name());
        PeerListener peerListener = new PeerListener(vertx, tables, peerKey, metrics, claimRecovery::writtenEra);
        peerListener.connect(peerExchange);
        peerHandler.set(peerListener::handle);
        registration = new MemberRegistration(vertx, platform, health, tables);
        operatorHandler.set(new OperatorListener(vertx, tables, state, operatorKey, metrics, trace)::handle);
        Events.info(LOG, "operators_listening", "port", operatorPort);
        return startServing();
    }

    private Future<Void> startServing() {
        LoadProbe loadProbe = new PluginRegistry<>(LoadProbe.class).get("json");
        leases = new WarmupLeaseManager(vertx, platform.objectStore(), health, tables);
        ConfigurationWatch watch =
                new ConfigurationWatch(vertx, platform.objectStore(), health, tables, metrics, random);
        PipelineServices services = new PipelineServices(
                vertx,
                settings,
                tables,
                ledger,
                new SuspectPermits(
                        platform.objectStore(),
                        health,
                        clock,
                        tables.members().self().name()),
                new PluginRegistry<>(StageProtocol.class),
                metrics,
                trace,
                peerExchange,
                leases,
                random);
        return leases.start()
                .compose(done -> claimRecovery.start())
                .compose(done -> createInitialConfiguration(watch))
                .compose(done -> watch.start())
                .compose(done -> registration.start())
                .compose(done -> {
                    peerExchange.start();
                    new EndpointProber(vertx, tables, loadProbe, settings.probesPerSecond()).start();
                    vertx.setPeriodic(ISOLATION_CHECK_PERIOD_MS, fired -> updateIsolation());
                    return vertx.deployVerticle(
                            () -> new PipelineListener(services, loadProbe, state, wallClock),
                            new DeploymentOptions().setInstances(settings.workers()));
                })
                .onSuccess(done -> Events.info(
                        LOG,
                        "instance_started",
                        "instance",
                        tables.members().self().name(),
                        "zone",
                        settings.zone()))
                .mapEmpty();
    }

    private Future<Void> createInitialConfiguration(ConfigurationWatch watch) {
        if (settings.tablesFile().isEmpty()) {
            return Future.succeededFuture();
        }
        String text;
        try {
            text = Files.readString(Path.of(settings.tablesFile()));
        } catch (IOException failure) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.SETTINGS_INVALID, "tables_file: " + failure));
        }
        TablesFile file = new TablesReader(settings.tablesFile()).read(text);
        if (!file.problems().isEmpty()) {
            return Future.failedFuture(ServingException.notRun(
                    ErrorCode.CONFIGURATION_INVALID,
                    file.problems().stream().map(TomlProblem::toString).collect(Collectors.joining("\n"))));
        }
        Configuration initial = Configuration.NONE.next("first-" + settings.name(), file.tables(), List.of());
        return watch.createIfAbsent(initial, Json.write(initial));
    }

    /** An instance that reaches neither the platform nor a peer cannot know which configuration is active. */
    private void updateIsolation() {
        boolean peersUnreachable = tables.members()
                .timeSinceLastContactMs(clock.nowMs())
                .filter(silenceMs -> silenceMs > ISOLATION_THRESHOLD_MS)
                .isPresent();
        boolean isolated = peersUnreachable && health.timeSinceLastResponseMs() > ISOLATION_THRESHOLD_MS;
        state.setIsolated(isolated);
    }

    /**
     * Takes the instance out of service without interrupting requests: it first reports that it is not ready, then
     * refuses new requests, then waits for running requests and unconfirmed claims.
     *
     * @return a future that completes once nothing is running or the drain timeout has expired
     */
    public Future<Void> drain() {
        state.startDraining();
        long startedMs = clock.nowMs();
        Events.info(LOG, "drain_started", "running", state.runningCount());
        Promise<Void> promise = Promise.promise();
        vertx.setPeriodic(DRAIN_CHECK_PERIOD_MS, timer -> {
            long elapsedMs = clock.nowMs() - startedMs;
            boolean idle = state.runningCount() == 0
                    && ledger.unconfirmedCount() == 0
                    && elapsedMs >= settings.balancerLagMs();
            if (idle || elapsedMs >= (long) settings.drainTimeoutMs() + settings.balancerLagMs()) {
                vertx.cancelTimer(timer);
                Events.info(
                        LOG, "drain_ended", "running", state.runningCount(), "unconfirmed", ledger.unconfirmedCount());
                promise.tryComplete();
            }
        });
        return promise.future()
                .compose(done -> leases.releaseAll())
                .compose(done -> peerExchange.notifyDeparture())
                .compose(done -> registration.deregister());
    }

    /**
     * Returns the revision of the active configuration.
     *
     * @return the revision, zero before the first configuration
     */
    public long revision() {
        return tables.configuration().revision();
    }

    /**
     * Returns the readiness and the running requests of this instance.
     *
     * @return the state, available after {@link #start()}
     */
    public InstanceState state() {
        return state;
    }
}
