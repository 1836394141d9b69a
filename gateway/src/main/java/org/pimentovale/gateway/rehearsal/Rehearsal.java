package org.pimentovale.gateway.rehearsal;

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
import org.pimentovale.gateway.settings.GatewaySettings;
import org.pimentovale.gateway.settings.GatewaySettings.RetryBounds;
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
 * Serves made-up requests after the start, so that the first callers do not wait for code that has never run.
 *
 * <p>On a machine with a tenth of a core, a request through code that is not compiled yet takes a second more. Two
 * gateways of their own on the loopback address, with an endpoint that answers at once, pass requests with stages and
 * without them through every layer. Invariant: nothing of a rehearsal reaches the store, a peer or an endpoint, and
 * none of its requests starts while a caller's request runs. Not thread safe; used on one event loop.
 */
public final class Rehearsal {
    static final String HOST = "127.0.0.1";

    private static final Logger LOG = Logger.getLogger(Rehearsal.class);
    private static final int REQUESTS = 250;
    private static final long LONGEST_MS = 20_000;
    private static final int BUSY_CHECK_MS = 20;
    private static final int REQUEST_TIMEOUT_MS = 4_000;
    private static final int GOAL_MS = 2_000;
    private static final String ANY_ADDRESS = HOST + ":0";
    private static final String CALLER_HOST = "rehearsal";
    private static final String KEY = "rehearsal-key";
    private static final String ENGINES = "rehearsal-engines";
    private static final List<String> STAGE_SERVICES = List.of("rehearsal-first", "rehearsal-second");
    private static final List<Integer> PIECES = List.of(2, 3);
    private static final PieceLimits PIECE_LIMITS = new PieceLimits(1, 8, 1, 0.1, 10, 4);

    private final Vertx vertx;
    private final ServingPlatform platform;
    private final MonotonicClock clock;
    private final BooleanSupplier busy;
    private final RehearsalEndpoint endpoint;
    private final TimedHttpClient caller;
    private final RandomGenerator random;
    private List<Gateway> gateways = List.of();
    private long startedMs;
    private int sent;
    private int answered;

    /**
     * Creates a rehearsal that does not run yet.
     *
     * @param vertx runs everything, with one event loop
     * @param platform whose dialects are spoken
     * @param clock the time
     * @param random spreads tries
     * @param busy tells whether callers' requests run
     */
    public Rehearsal(
            Vertx vertx, ServingPlatform platform, MonotonicClock clock, RandomGenerator random, BooleanSupplier busy) {
        this.vertx = vertx;
        this.platform = platform;
        this.clock = clock;
        this.random = random;
        this.busy = busy;
        this.endpoint = new RehearsalEndpoint(vertx, platform.endpoints(), platform.stages());
        HttpClientOptions options = new HttpClientOptions().setKeepAlive(false);
        this.caller = new TimedHttpClient(vertx, vertx.createHttpClient(options), ErrorCode.CONNECTION_LOST);
    }

    /**
     * Runs the rehearsal.
     *
     * @return the number of requests that were answered, once it has ended and closed what it opened; never fails
     */
    public Future<Integer> run() {
        startedMs = clock.nowMs();
        return endpoint.start()
                .compose(this::startGateways)
                .compose(started -> sendNext())
                .transform(ended -> close(ended.failed() ? String.valueOf(ended.cause()) : "done"));
    }

    private Future<Void> startGateways(String endpointAddress) {
        RehearsalPlatform scene =
                new RehearsalPlatform(platform, new RehearsalStore(configuration(), endpoints(endpointAddress)));
        gateways = List.of(gateway("rehearsal-1", scene), gateway("rehearsal-2", scene));
        return gateways.get(0).start().compose(started -> gateways.get(1).start());
    }

    private Gateway gateway(String name, RehearsalPlatform scene) {
        GatewaySettings settings = new GatewaySettings(
                name,
                "zone",
                scene.name(),
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                REQUEST_TIMEOUT_MS,
                new RetryBounds(1, REQUESTS, REQUEST_TIMEOUT_MS),
                "INFO");
        return new Gateway(vertx, settings, scene, clock, random);
    }

    private static ServingConfiguration configuration() {
        List<RouteStage> stages = List.of(
                new RouteStage(0, STAGE_SERVICES.get(0), List.of(), 1_000),
                new RouteStage(1, STAGE_SERVICES.get(1), List.of(0), 1_000));
        List<ServingRoute> routes = List.of(
                route("/streamed/", RequestKind.STREAMING, stages),
                route("/once/", RequestKind.NON_IDEMPOTENT, List.of()));
        List<ServingService> services = List.of(
                new ServingService(ENGINES, 0, Optional.empty()),
                new ServingService(STAGE_SERVICES.get(0), 0, Optional.of(PIECE_LIMITS)),
                new ServingService(STAGE_SERVICES.get(1), 0, Optional.of(PIECE_LIMITS)));
        ServingWorkspace workspace = new ServingWorkspace("rehearsal", List.of(KEY), OptionalInt.empty());
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
                List.of(new WeightedService(ENGINES, 1)),
                1,
                stages,
                false,
                false);
    }

    private static List<EndpointRecord> endpoints(String address) {
        return List.of(
                endpoint("rehearsal-a", ENGINES, address),
                endpoint("rehearsal-b", STAGE_SERVICES.get(0), address),
                endpoint("rehearsal-c", STAGE_SERVICES.get(1), address));
    }

    private static EndpointRecord endpoint(String identifier, String service, String address) {
        return new EndpointRecord(identifier, service, address, "zone", 8, false, 0, 0);
    }

    private Future<Void> sendNext() {
        if (sent >= REQUESTS || clock.nowMs() - startedMs >= LONGEST_MS) {
            return Future.succeededFuture();
        }
        if (busy.getAsBoolean()) {
            return vertx.timer(BUSY_CHECK_MS).compose(fired -> sendNext());
        }
        // A turn of the event loop between two requests lets callers in and keeps the chain of futures flat.
        return send().transform(ended -> vertx.timer(1)).compose(fired -> sendNext());
    }

    private Future<Void> send() {
        sent++;
        boolean streamed = sent % 2 == 0;
        Gateway target = gateways.get(sent / 2 % gateways.size());
        MultiMap headers = platform.callers().sampleHeaders("rehearsal-" + sent, KEY, streamed ? PIECES : List.of());
        headers.set("Host", CALLER_HOST);
        HttpCall exchange = new HttpCall(
                HOST + ":" + target.callerPort(),
                HttpMethod.POST,
                streamed ? "/streamed/1" : "/once/1",
                Optional.of(Buffer.buffer("{\"rehearsal\":true}")),
                REQUEST_TIMEOUT_MS);
        return caller.call(exchange, headers)
                .onSuccess(answer -> answered += answer.status() == 200 ? 1 : 0)
                .mapEmpty();
    }

    private Future<Integer> close(String outcome) {
        gateways.forEach(Gateway::close);
        endpoint.close();
        Events.info(
                LOG,
                "rehearsal_ended",
                "requests",
                sent,
                "answered",
                answered,
                "elapsed_ms",
                clock.nowMs() - startedMs,
                "outcome",
                outcome);
        return Future.succeededFuture(answered);
    }
}
