package org.pimentovale.bench;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

/** Implements {@code replay}: sends a workload to running entry daemons. Stateless and thread safe. */
public final class ReplayCommand implements BenchCommand {
    /** The share of requests that pass the model engines, the same in each {@link Workload}. */
    private static final double GENERATING_SHARE = 0.7;

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String help() {
        return "replays a workload against running entry daemons and writes one JSON result";
    }

    @Override
    public void run(BenchOptions options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Future<ReplayResult> result = Future.future(promise -> vertx.runOnContext(run -> {
            LoadDriver driver = new LoadDriver(vertx, options);
            driver.run()
                    .compose(done -> driver.fetchEndpointRecords())
                    .map(records -> driver.result(records, GENERATING_SHARE))
                    .onComplete(promise);
        }));
        ReplayResult measured = result.toCompletionStage().toCompletableFuture().join();
        Measurement.writeJson(options.output(), measured);
        System.out.printf(
                "%s %s offered=%.1f/s capacity=%.1f/s sent=%d attainment=%.4f useful=%.3f failures=%s%n",
                measured.workload(),
                measured.label(),
                measured.offeredPerSecond(),
                measured.capacityPerSecond(),
                measured.sent(),
                measured.attainment(),
                measured.usefulShareOfCapacity(),
                measured.failures());
    }
}
