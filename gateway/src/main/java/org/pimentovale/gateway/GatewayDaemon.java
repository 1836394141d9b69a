package org.pimentovale.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.settings.GatewaySettings;
import org.pimentovale.gateway.settings.GatewaySettingsReader;
import org.pimentovale.gateway.warmup.JitWarmup;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.log.LoggingSetup;
import org.pimentovale.plugin.PluginRegistry;
import sun.misc.Signal;

/** The gateway's main program. Exit codes: 0 after a shutdown, 1 if it cannot start, 2 for invalid arguments. */
public final class GatewayDaemon {
    private static final Logger LOG = Logger.getLogger(GatewayDaemon.class);
    private static final int READY_CHECK_INTERVAL_MS = 100;

    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "the settings, in TOML")
    private String settingsFile;

    @Option(name = "--check", usage = "check the settings and exit")
    private boolean checkOnly;

    private GatewayDaemon() {}

    /**
     * Runs the gateway until SIGTERM or SIGINT.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        GatewayDaemon daemon = new GatewayDaemon();
        CmdLineParser parser = new CmdLineParser(daemon);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            System.err.println(failure.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        try {
            daemon.run();
        } catch (ServingException failure) {
            System.err.println(failure.getMessage());
            System.exit(1);
        }
    }

    private void run() {
        GatewaySettings settings = new GatewaySettingsReader().read(settingsFile, readSettings(), System.getenv());
        if (checkOnly) {
            System.out.println("settings are valid");
            return;
        }
        LoggingSetup.install(settings.logLevel());
        // One event loop is enough for an instance with less than one core, and lets the tables do without locks.
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        ServingPlatform platform = new PluginRegistry<>(ServingPlatform.class).get(settings.platform());
        MonotonicClock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        Random random = new Random();
        Gateway gateway = new Gateway(vertx, settings, platform, clock, random);
        JitWarmup warmup = new JitWarmup(vertx, platform, clock, random, gateway::busy);
        // Signal handlers instead of a shutdown hook: hooks run concurrently, and the logging library's own hook stops
        // all log output.
        Signal.handle(new Signal("TERM"), signal -> startShutDown(gateway, settings));
        Signal.handle(new Signal("INT"), signal -> startShutDown(gateway, settings));
        Signal.handle(
                new Signal("HUP"),
                signal -> Events.info(LOG, "settings_signal", "outcome", "ignored, settings are read only at start"));
        vertx.runOnContext(run -> gateway.start()
                .onSuccess(started -> warmUpOnceReady(vertx, gateway, warmup))
                .onFailure(failure -> {
                    System.err.println("cannot start: " + failure.getMessage());
                    Runtime.getRuntime().halt(1);
                }));
    }

    /** Warms up only after the store has been read, since callers may be waiting for that. */
    private static void warmUpOnceReady(Vertx vertx, Gateway gateway, JitWarmup warmup) {
        vertx.setPeriodic(READY_CHECK_INTERVAL_MS, timer -> {
            if (gateway.ready()) {
                vertx.cancelTimer(timer);
                warmup.run();
            }
        });
    }

    private String readSettings() {
        try {
            return Files.readString(Path.of(settingsFile));
        } catch (IOException failure) {
            throw ServingException.notRun(ErrorCode.SETTINGS_INVALID, settingsFile + ": " + failure);
        }
    }

    private static void startShutDown(Gateway gateway, GatewaySettings settings) {
        new Thread(
                        () -> {
                            shutDown(gateway, settings);
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown")
                .start();
    }

    private static void shutDown(Gateway gateway, GatewaySettings settings) {
        CountDownLatch drained = new CountDownLatch(1);
        gateway.drain().onComplete(done -> drained.countDown());
        try {
            if (!drained.await(settings.shutdownTimeoutMs(), TimeUnit.MILLISECONDS)) {
                Events.warn(LOG, "drain_incomplete", "limit_ms", settings.shutdownTimeoutMs());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            Events.warn(LOG, "drain_interrupted");
        }
    }
}
