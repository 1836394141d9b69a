package org.pimentovale.daemon;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.pimentovale.daemon.settings.DaemonSettings;
import org.pimentovale.daemon.settings.DaemonSettingsReader;
import org.pimentovale.error.ServingException;
import org.pimentovale.log.LoggingSetup;

/** Main class of the entry daemon. Exit codes: 0 after a shutdown, 1 if it cannot start, 2 for invalid arguments. */
public final class EntryDaemon {
    @Option(name = "--settings", required = true, metaVar = "FILE", usage = "the settings, in TOML")
    private String settingsFile;

    @Option(name = "--check", usage = "check the settings and exit")
    private boolean checkOnly;

    private EntryDaemon() {}

    /**
     * Runs the daemon until the process is shut down.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        EntryDaemon daemon = new EntryDaemon();
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
        DaemonSettings settings = new DaemonSettingsReader().read(settingsFile, readSettings());
        if (checkOnly) {
            System.out.println("settings are valid");
            return;
        }
        LoggingSetup.install(settings.logLevel());
        // The workers use one event loop each; one more serves the background tasks.
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(settings.workers() + 1));
        EntryInstance instance = new EntryInstance(
                vertx,
                settings,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                Clock.systemUTC(),
                new SecureRandom());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(instance, vertx), "shutdown"));
        instance.start().onFailure(failure -> {
            System.err.println("cannot start: " + failure.getMessage());
            Runtime.getRuntime().halt(1);
        });
    }

    private String readSettings() {
        try {
            return Files.readString(Path.of(settingsFile));
        } catch (IOException failure) {
            throw ServingException.notRun(
                    org.pimentovale.error.ErrorCode.SETTINGS_INVALID, "cannot read the settings file " + settingsFile);
        }
    }

    private static void shutDown(EntryInstance instance, Vertx vertx) {
        CountDownLatch done = new CountDownLatch(1);
        instance.drain().compose(drained -> vertx.close()).onComplete(result -> done.countDown());
        try {
            done.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
