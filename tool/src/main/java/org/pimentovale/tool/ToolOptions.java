package org.pimentovale.tool;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The parsed command line of the tool. Not thread safe. */
final class ToolOptions {
    @Argument(metaVar = "COMMAND", usage = "the command and its arguments; see the list of commands")
    private List<String> arguments = new ArrayList<>();

    @Option(name = "--file", metaVar = "FILE", usage = "tables file, in TOML")
    private String file = "";

    @Option(name = "--in-force", metaVar = "FILE", usage = "file with the version in force, to compare with")
    private String inForceFile = "";

    @Option(name = "--store", metaVar = "HOST:PORT", usage = "store of a running platform, to compare with")
    private String storeAddress = "";

    @Option(name = "--format", metaVar = "text|json", usage = "output format (default text)")
    private OutputFormat format = OutputFormat.TEXT;

    @Option(name = "--platform", metaVar = "NAME", usage = "platform plug-in (default http)")
    private String platformPlugin = "http";

    @Option(name = "--platform-address", metaVar = "HOST:PORT", usage = "address of the platform")
    private String platformAddress = "";

    @Option(name = "--key-file", metaVar = "FILE", usage = "file with the key of the operators' listeners")
    private String keyFile = "";

    @Option(
            name = "--instances",
            metaVar = "HOST:PORT,...",
            usage = "operators' listeners to call, for when the store is unavailable")
    private String instances = "";

    @Option(name = "--repeats", metaVar = "N", usage = "maximum number of retries of an unanswered call (default 25)")
    private int maxRetries = 25;

    @Option(name = "--json", usage = "print JSON")
    private boolean json;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    List<String> arguments() {
        return arguments;
    }

    String file() {
        return file;
    }

    String inForceFile() {
        return inForceFile;
    }

    String storeAddress() {
        return storeAddress;
    }

    String platformPlugin() {
        return platformPlugin;
    }

    String platformAddress() {
        return platformAddress;
    }

    String keyFile() {
        return keyFile;
    }

    String instances() {
        return instances;
    }

    int maxRetries() {
        return maxRetries;
    }

    boolean json() {
        return json || format == OutputFormat.JSON;
    }

    boolean help() {
        return help;
    }
}
