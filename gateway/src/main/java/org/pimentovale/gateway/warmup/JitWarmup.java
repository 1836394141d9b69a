package org.pimentovale.gateway.warmup;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.gateway.Gateway;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.settings.FeatureSettings;
import org.pimentovale.gateway.settings.GatewaySettings;
import org.pimentovale.gateway.settings.GatewaySettings.RetryBudgetSettings;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.serving.CallerLimits;
import org.pimentovale.kernel.serving.PieceLimits;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.serving.ServingWorkspace;
import org.pimentovale.kernel.serving.WeightedService;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Warms up the JIT compiler with generated requests after the start, so that the first callers are not delayed by code
 * that has never run.
 *
 * <p>On a machine with a tenth of a core, a request through code that is not compiled yet takes a second longer. The
 * warm-up starts two separate gateways and a stub endpoint on the loopback address and sends requests with and without
 * stages through every layer. Invariants: the warm-up reaches neither the platform's store nor its gateways and
 * endpoints, and none of its requests is sent while a caller's request is in progress. Not thread safe; used on one
 * event loop.
 */
public final class JitWarmup {
    static final String HOST = "127.0.0.1";

    private static final Logger LOG = Logger.getLogger(JitWarmup.class);
    private static final int BUSY_CHECK_INTERVAL_MS = 20;
    private static final int REQUEST_TIMEOUT_MS = 4_000;
    private static final int GOAL_MS = 2_000;
    private static final String EPHEMERAL_ADDRESS = HOST + ":0";
    private static final String CALLER_HOST = "rehearsal";
    private static final String API_KEY = "rehearsal-key";
    private static final String FINAL_SERVICE = "rehearsal-engines";
    private static final List<String> STAGE_SERVICES = List.of("rehearsal-first", "rehearsal-second");
    private static final List<Integer> PIECES = List.of(2, 3);
    private static final PieceLimits PIECE_LIMITS = new PieceLimits(1, 8, 1, 0.1, 10, 4);

    /**
     * The outcome of a warm-up.
     *
     * @param sent the number of requests that were sent
     * @param answered the number of those that got a response with status 200
     */
    public record Result(int sent, int answered) {}

    private final Vertx vertx;
    private final ServingPlatform platform;
    private final MonotonicClock clock;
    private final BooleanSupplier busy;
    private final JitWarmupEndpoint endpoint;
    private final TimedHttpClient callerClient;
    private final RandomGenerator random;
    private List<Gateway> gateways = List.of();
    private JitWarmupProgress progress;
    private long startedMs;
    private int sentCount;
    private int completedCount;

    /**
     * Creates a warm-up; {@link #run} starts it.
     *
     * @param vertx the Vert.x instance, which must have exactly one event loop
     * @param platform the platform whose wire formats are used
     * @param clock the source of monotonic time
     * @param random the source of jitter for retries
     * @param busy whether callers' requests are in progress
     */
    public JitWarmup(
            Vertx vertx, ServingPlatform platform, MonotonicClock clock, RandomGenerator random, BooleanSupplier busy) {
        this.vertx = vertx;
        this.platform = platform;
        this.clock = clock;
        this.random = random;
        this.busy = busy;
        this.endpoint = new JitWarmupEndpoint(vertx, platform.endpointCodec(), platform.stageCodec());
        HttpClientOptions options = new HttpClientOptions().setKeepAlive(false);
        this.callerClient = new TimedHttpClient(vertx, vertx.createHttpClient(options), ErrorCode.CONNECTION_LOST);
    }

    /**
     * Runs the warm-up and then closes its gateways and its endpoint.
     *
     * @return what was sent and answered; never fails
     */
    public Future<Result> run() {
        startedMs = clock.nowMs();
        progress = new JitWarmupProgress(startedMs);
        return endpoint.start()
                .compose(this::startGateways)
                .compose(started -> sendNext())
                .transform(ended -> close(ended.failed() ? String.valueOf(ended.cause()) : "done"));
    }

    private Future<Void> startGateways(String endpointAddress) {
        JitWarmupPlatform warmupPlatform =
                new JitWarmupPlatform(platform, new JitWarmupStore(configuration(), endpoints(endpointAddress)));
        gateways = List.of(gateway("rehearsal-1", warmupPlatform), gateway("rehearsal-2", warmupPlatform));
        return gateways.get(0).start().compose(started -> gateways.get(1).start());
    }

    private Gateway gateway(String name, JitWarmupPlatform warmupPlatform) {
        GatewaySettings settings = new GatewaySettings(
                name,
                "zone",
                warmupPlatform.name(),
                EPHEMERAL_ADDRESS,
                EPHEMERAL_ADDRESS,
                EPHEMERAL_ADDRESS,
                EPHEMERAL_ADDRESS,
                0,
                REQUEST_TIMEOUT_MS,
                new RetryBudgetSettings(1, JitWarmupProgress.MAX_REQUESTS, REQUEST_TIMEOUT_MS),
                FeatureSettings.NONE,
                "INFO");
        return new Gateway(vertx, settings, warmupPlatform, clock, random);
    }

    private static ServingConfiguration configuration() {
        List<RouteStage> stages = List.of(
                new RouteStage(0, STAGE_SERVICES.get(0), List.of(), 1_000),
                new RouteStage(1, STAGE_SERVICES.get(1), List.of(0), 1_000));
        List<ServingRoute> routes = List.of(
                route("/streamed/", RequestKind.STREAMING, stages),
                route("/once/", RequestKind.NON_IDEMPOTENT, List.of()));
        List<ServingService> services = List.of(
                new ServingService(FINAL_SERVICE, 0, Optional.empty()),
                new ServingService(STAGE_SERVICES.get(0), 0, Optional.of(PIECE_LIMITS)),
                new ServingService(STAGE_SERVICES.get(1), 0, Optional.of(PIECE_LIMITS)));
        ServingWorkspace workspace = new ServingWorkspace("rehearsal", List.of(API_KEY), OptionalInt.empty());
        return new ServingConfiguration(
                1, routes, services, List.of(workspace), new CallerLimits(10_000, REQUEST_TIMEOUT_MS));
    }

    private static ServingRoute route(String pathPrefix, RequestKind kind, List<RouteStage> stages) {
        return new ServingRoute(
                "rehearsal",
                CALLER_HOST,
                pathPrefix,
                kind,
                REQUEST_TIMEOUT_MS,
                GOAL_MS,
                1,
                List.of(new WeightedService(FINAL_SERVICE, 1)),
                1,
                stages,
                false,
                false);
    }

    private static List<EndpointRecord> endpoints(String address) {
        return List.of(
                endpoint("rehearsal-a", FINAL_SERVICE, address),
                endpoint("rehearsal-b", STAGE_SERVICES.get(0), address),
                endpoint("rehearsal-c", STAGE_SERVICES.get(1), address));
    }

    private static EndpointRecord endpoint(String identifier, String service, String address) {
        return new EndpointRecord(identifier, service, address, "zone", 8, false, 0, 0, "");
    }

    private Future<Void> sendNext() {
        if (progress.done(clock.nowMs())) {
            return Future.succeededFuture();
        }
        if (busy.getAsBoolean()) {
            return vertx.timer(BUSY_CHECK_INTERVAL_MS).compose(fired -> sendNext());
        }
        // The timer returns to the event loop between two requests, so that callers' requests are handled and the chain
        // of futures does not nest.
        long sentMs = clock.nowMs();
        return send().onComplete(ended -> progress.record(clock.nowMs() - sentMs))
                .transform(ended -> vertx.timer(1))
                .compose(fired -> sendNext());
    }

    private Future<Void> send() {
        sentCount++;
        boolean streamed = sentCount % 2 == 0;
        Gateway target = gateways.get(sentCount / 2 % gateways.size());
        MultiMap headers =
                platform.callerCodec().sampleHeaders("rehearsal-" + sentCount, API_KEY, streamed ? PIECES : List.of());
        headers.set("Host", CALLER_HOST);
        HttpCall call = new HttpCall(
                HOST + ":" + target.callerPort(),
                HttpMethod.POST,
                streamed ? "/streamed/1" : "/once/1",
                Optional.of(Buffer.buffer("{\"rehearsal\":true}")),
                REQUEST_TIMEOUT_MS);
        return callerClient
                .call(call, headers)
                .onSuccess(response -> completedCount += response.status() == 200 ? 1 : 0)
                .mapEmpty();
    }

    private Future<Result> close(String outcome) {
        gateways.forEach(Gateway::close);
        endpoint.close();
        Events.info(
                LOG,
                "jit_warmup_ended",
                "requests",
                sentCount,
                "answered",
                completedCount,
                "elapsed_ms",
                clock.nowMs() - startedMs,
                "outcome",
                outcome);
        return Future.succeededFuture(new Result(sentCount, completedCount));
    }
}
