package org.pimentovale.standin;

import io.vertx.core.Deployable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;
import org.pimentovale.table.TablesReader;

/** Runs stand-ins in a process of their own; each prints {@code listening port=N} once it accepts requests. */
public final class StandInProgram {
    private static final int ENDPOINT_EVENT_LOOPS = 2;

    @Argument(required = true, metaVar = "store|endpoint|endpoints", usage = "what to stand in for")
    private String role;

    @Option(name = "--port", usage = "TCP port, zero for one that the system chooses")
    private int port;

    @Option(name = "--limit", usage = "requests that an endpoint runs at once")
    private int limit = 8;

    @Option(name = "--cold-limit", usage = "requests at once beyond which a cold endpoint falls over")
    private int coldLimit = 1;

    @Option(name = "--cold-requests", usage = "requests after which an endpoint is warm")
    private int coldRequests;

    @Option(name = "--work-ms", usage = "time of a call, or until the first token")
    private int workMs = 20;

    @Option(name = "--token-ms", usage = "time between two tokens")
    private int tokenMs = 2;

    @Option(name = "--tokens", usage = "tokens of an answer")
    private int tokens = 24;

    @Option(name = "--report-lag-ms", usage = "age of the reported load")
    private int reportLagMs = 100;

    @Option(name = "--tables", metaVar = "FILE", usage = "for endpoints: opens every endpoint of the tables")
    private String tablesFile = "";

    private StandInProgram() {}

    /**
     * Runs the stand-in until the process ends. Exits with 2 on an invalid command line and with 1 if the stand-in
     * cannot start.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        StandInProgram program = new StandInProgram();
        CmdLineParser parser = new CmdLineParser(program);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            System.err.println(failure.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        if (program.role.equals("endpoints")) {
            program.openEndpoints(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(ENDPOINT_EVENT_LOOPS)));
            return;
        }
        program.deploy(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)), program.createStandIn());
    }

    private void deploy(Vertx vertx, Deployable standIn) {
        vertx.deployVerticle(standIn).onFailure(failure -> {
            System.err.println("cannot start: " + failure.getMessage());
            System.exit(1);
        });
    }

    /** Starts a stand-in for every endpoint of the tables file, with the limits configured for its pool. */
    private void openEndpoints(Vertx vertx) {
        String text;
        try {
            text = Files.readString(Path.of(tablesFile));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        for (Pool pool : new TablesReader(tablesFile).read(text).tables().pools()) {
            boolean isEngine = pool.protocol().equals("chat");
            boolean hasColdLimit = pool.coldLimit() < pool.limit();
            EndpointProfile profile = new EndpointProfile(
                    pool.limit(),
                    pool.coldLimit(),
                    hasColdLimit ? pool.warmAfterRequests() : 0,
                    isEngine ? workMs : pool.expectedMs(),
                    tokenMs,
                    tokens,
                    reportLagMs);
            for (Endpoint endpoint : pool.endpoints()) {
                deploy(vertx, new EndpointStandIn(endpoint.port(), profile));
            }
        }
    }

    private Deployable createStandIn() {
        if (role.equals("store")) {
            return new StoreStandIn(port);
        }
        return new EndpointStandIn(
                port, new EndpointProfile(limit, coldLimit, coldRequests, workMs, tokenMs, tokens, reportLagMs));
    }
}
