package org.pimentovale.bench;

import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The command line of the measurements. Not thread safe. */
public final class BenchOptions {
    @Argument(metaVar = "COMMAND", usage = "what to measure")
    private String command = "";

    @Option(name = "--workload", usage = "banchi-fioriti or treuils")
    private String workload = "banchi-fioriti";

    @Option(name = "--entries", metaVar = "HOST:PORT,...", usage = "callers' listeners of the entry daemons")
    private String entries = "";

    @Option(name = "--direct", metaVar = "HOST:PORT", usage = "an endpoint to be called without an entry daemon")
    private String directEndpoint = "";

    @Option(name = "--process", usage = "process identifier of the entry daemon under measurement")
    private long processIdentifier;

    @Option(name = "--endpoints", metaVar = "HOST:PORT,...", usage = "endpoints whose records are read")
    private String endpoints = "";

    @Option(name = "--rate", usage = "requests a second")
    private double rate = 40;

    @Option(name = "--seconds", usage = "length of the replay")
    private int seconds = 30;

    @Option(name = "--seed", usage = "seed of arrivals and kinds")
    private long seed = 1;

    @Option(name = "--capacity", usage = "requests a second that the endpoints can finish")
    private double capacity;

    @Option(name = "--label", usage = "name of the run, such as the routing policy")
    private String label = "run";

    @Option(name = "--output", metaVar = "FILE", usage = "file of the JSON result")
    private String output = "result.json";

    @Option(name = "--results", metaVar = "FILE,...", usage = "results to be drawn into one plot")
    private String results = "";

    @Option(name = "--sizes", metaVar = "N,...", usage = "sizes at which a slope is measured")
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
