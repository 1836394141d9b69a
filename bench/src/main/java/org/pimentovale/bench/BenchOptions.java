package org.pimentovale.bench;

import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The parsed command line of the load driver. Not thread safe. */
public final class BenchOptions {
    @Argument(metaVar = "COMMAND", usage = "what to measure")
    private String command = "";

    @Option(name = "--workload", usage = "banchi-fioriti or treuils")
    private String workload = "banchi-fioriti";

    @Option(name = "--entries", metaVar = "HOST:PORT,...", usage = "callers' listeners of the entry daemons")
    private String entries = "";

    @Option(name = "--direct", metaVar = "HOST:PORT", usage = "endpoint to call directly, without an entry daemon")
    private String directEndpoint = "";

    @Option(name = "--process", usage = "process identifier of the entry daemon under measurement")
    private long processIdentifier;

    @Option(name = "--endpoints", metaVar = "HOST:PORT,...", usage = "endpoints whose statistics are collected")
    private String endpoints = "";

    @Option(name = "--rate", usage = "requests per second")
    private double rate = 40;

    @Option(name = "--seconds", usage = "duration of the replay in seconds")
    private int seconds = 30;

    @Option(name = "--seed", usage = "seed of the arrival times and the kinds of request")
    private long seed = 1;

    @Option(name = "--capacity", usage = "requests per second that the endpoints can complete")
    private double capacity;

    @Option(name = "--label", usage = "name of the run, such as the routing policy")
    private String label = "run";

    @Option(name = "--output", metaVar = "FILE", usage = "file of the result: JSON, or PNG for a plot")
    private String output = "result.json";

    @Option(name = "--results", metaVar = "FILE,...", usage = "replay results to plot")
    private String results = "";

    @Option(name = "--sizes", metaVar = "N,...", usage = "numbers of endpoints or instances to measure with")
    private String sizes = "";

    String command() {
        return command;
    }

    String workload() {
        return workload;
    }

    List<String> entries() {
        return List.of(entries.split(","));
    }

    String directEndpoint() {
        return directEndpoint;
    }

    long processIdentifier() {
        return processIdentifier;
    }

    List<String> endpoints() {
        return endpoints.isEmpty() ? List.of() : List.of(endpoints.split(","));
    }

    double rate() {
        return rate;
    }

    int seconds() {
        return seconds;
    }

    long seed() {
        return seed;
    }

    double capacity() {
        return capacity;
    }

    String label() {
        return label;
    }

    String output() {
        return output;
    }

    List<String> results() {
        return List.of(results.split(","));
    }

    List<Integer> sizes() {
        return Arrays.stream(sizes.split(",")).map(Integer::valueOf).toList();
    }
}
