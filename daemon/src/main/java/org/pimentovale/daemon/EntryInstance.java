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
import org.pimentovale.daemon.caller.CallerListener;
import org.pimentovale.daemon.caller.InstanceState;
import org.pimentovale.daemon.caller.PipelineServices;
import org.pimentovale.daemon.claim.ClaimLedger;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.daemon.configuration.ConfigurationWatch;
import org.pimentovale.daemon.endpoint.LoadProbe;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.daemon.http.Listeners;
import org.pimentovale.daemon.log.RequestTrace;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.daemon.operator.OperatorListener;
import org.pimentovale.daemon.peer.PeerExchange;
import org.pimentovale.daemon.peer.PeerListener;
import org.pimentovale.daemon.protocol.StageProtocol;
import org.pimentovale.daemon.settings.DaemonSettings;
import org.pimentovale.daemon.settings.ListenerSettings;
import org.pimentovale.daemon.suspect.SuspectGuard;
import org.pimentovale.daemon.warmup.WarmupLeases;
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
 * An entry instance: listeners, tables and duties, put together from the settings.
 *
 * <p>Invariant: callers are served only after the peer listener is open, since the instance's registration names it.
 * Thread safe after {@link #start()}.
 */
public final class EntryInstance {
    private static final Logger LOG = Logger.getLogger(EntryInstance.class);
    private static final int TRACED_REQUESTS = 5_000;
    private static final int DRAIN_CHECK_MS = 20;
    private static final int ISOLATION_CHECK_MS = 250;
    private static final long ISOLATION_MS = 3_000;
    private static final int RANDOM_SUFFIX_BITS = 0xffffff;

    private final Vertx vertx;
    private final DaemonSettings settings;
    private final MonotonicClock clock;
    private final Clock wallClock;
    private final Random random;
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final RequestTrace trace = new RequestTrace(TRACED_REQUESTS);
    private final StoreHealth health;
    private final Platform platform;
    private final AccessKey peerKey;
    private final AccessKey operatorKey;
    private final AtomicReference<Handler<HttpServerRequest>> peerHandler = startingHandler();
    private final AtomicReference<Handler<HttpServerRequest>> operatorHandler = startingHandler();
    private ServingTables tables;
    private InstanceState state;
    private ClaimLedger ledger;
    private PeerExchange exchange;
    private MemberRegistration registration;
    private WarmupLeases leases;

    /**
     * Creates an instance that does not run yet.
     *
     * @param vertx runs everything
     * @param settings the validated settings
     * @param clock the time
     * @param wallClock tells the age of idempotency keys
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
        this.peerKey = AccessKey.read(settings.peers().keyFile().orElseThrow());
        this.operatorKey = AccessKey.read(settings.operators().keyFile().orElseThrow());
    }

    /**
     * Opens the listeners and takes up the duties.
     *
     * @return completes once callers are served
     */
    public Future<Void> start() {
        // The member's addresses are known only once both listeners have their ports.
        return open(settings.peers(), peerHandler).compose(peerPort -> open(settings.operators(), operatorHandler)
                .compose(operatorPort -> startTables(peerPort, operatorPort)));
    }

    private Future<Integer> open(ListenerSettings listener, AtomicReference<Handler<HttpServerRequest>> handler) {
        return vertx.createHttpServer(Listeners.options(listener))
                .requestHandler(http -> handler.get().handle(http))
                .listen()
                .map(HttpServer::actualPort);
    }

    private static AtomicReference<Handler<HttpServerRequest>> startingHandler() {
        return new AtomicReference<>(http -> http.response().setStatusCode(503).end());
    }

    private Future<Void> startTables(int peerPort, int operatorPort) {
        String suffix = Integer.toHexString(random.nextInt() & RANDOM_SUFFIX_BITS);
        Member self = new Member(
                settings.name() + "-" + suffix,
                settings.zone(),
                settings.peers().host() + ":" + peerPort,
                settings.operators().host() + ":" + operatorPort);
        RoutingPolicy policy = new PluginRegistry<>(RoutingPolicy.class).get(settings.routingPolicy());
        tables = new ServingTables(
                clock,
                pool -> new SplittableRandom(random.nextLong() ^ pool),
                policy,
                new MemberTable(self),
                settings.queueLimit());
        metrics.watchRevision(tables.configuration()::revision);
        state = new InstanceState(tables, settings.balancerLagMs());
        ledger = new ClaimLedger(vertx, platform.objectStore(), health, clock, metrics, self.name());
        exchange = new PeerExchange(
                vertx, tables, peerKey, settings.peers().certificateFile(), metrics, random, settings.peerSeeds());
        PeerListener peerListener = new PeerListener(vertx, tables, peerKey, metrics);
        peerListener.connect(exchange);
        peerHandler.set(peerListener::handle);
        registration = new MemberRegistration(vertx, platform, health, tables);
        operatorHandler.set(new OperatorListener(vertx, tables, state, operatorKey, metrics, trace)::handle);
        Events.info(LOG, "operators_listening", "port", operatorPort);
        return startDuties();
    }

    private Future<Void> startDuties() {
        LoadProbe loadProbe = new PluginRegistry<>(LoadProbe.class).get("json");
        leases = new WarmupLeases(vertx, platform.objectStore(), health, tables);
        ConfigurationWatch watch =
                new ConfigurationWatch(vertx, platform.objectStore(), health, tables, metrics, random);
        PipelineServices services = new PipelineServices(
                vertx,
                settings,
                tables,
                ledger,
                new SuspectGuard(
                        platform.objectStore(),
                        health,
                        clock,
                        tables.members().self().name()),
                new PluginRegistry<>(StageProtocol.class),
                metrics,
                trace,
                exchange,
                leases,
                random);
        return leases.start()
                .compose(done -> putFirstTables(watch))
                .compose(done -> watch.start())
                .compose(done -> registration.start())
                .compose(done -> {
                    exchange.start();
                    new EndpointProbing(vertx, tables, loadProbe, settings.probesPerSecond()).start();
                    vertx.setPeriodic(ISOLATION_CHECK_MS, fired -> checkIsolation());
                    return vertx.deployVerticle(
                            () -> new CallerListener(services, loadProbe, state, wallClock),
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

    private Future<Void> putFirstTables(ConfigurationWatch watch) {
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
        Configuration first = Configuration.NONE.next("first-" + settings.name(), file.tables(), List.of());
        return watch.createIfAbsent(first, Json.write(first));
    }

    /** An instance that reaches neither the platform nor anybody else cannot know what is in force. */
    private void checkIsolation() {
        boolean alone = tables.members()
                .timeSinceLastContactMs(clock.nowMs())
                .filter(silenceMs -> silenceMs > ISOLATION_MS)
                .isPresent();
        boolean isolated = alone && health.silenceMs() > ISOLATION_MS;
        state.setIsolated(isolated);
    }

    /**
     * Leaves service without cutting a request: not ready first, then refusing, then waiting for running requests and
     * for unconfirmed claims.
     *
     * @return completes once nothing runs or the longest drain time is over
     */
    public Future<Void> drain() {
        state.drain();
        long startedMs = clock.nowMs();
        Events.info(LOG, "drain_started", "running", state.running());
        Promise<Void> promise = Promise.promise();
        vertx.setPeriodic(DRAIN_CHECK_MS, timer -> {
            long elapsedMs = clock.nowMs() - startedMs;
            boolean idle = state.running() == 0 && ledger.unsettled() == 0 && elapsedMs >= settings.balancerLagMs();
            if (idle || elapsedMs >= (long) settings.drainMs() + settings.balancerLagMs()) {
                vertx.cancelTimer(timer);
                Events.info(LOG, "drain_ended", "running", state.running(), "unsettled", ledger.unsettled());
                promise.tryComplete();
            }
        });
        return promise.future()
                .compose(done -> leases.giveBack())
                .compose(done -> exchange.leave())
                .compose(done -> registration.leave());
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision, zero before the first configuration
     */
    public long revision() {
        return tables.configuration().revision();
    }

    /**
     * Returns the instance's state.
     *
     * @return the state
     */
    public InstanceState state() {
        return state;
    }
}
