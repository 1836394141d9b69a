package org.pimentovale.tool;

import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** The tool's command line. Not thread safe. */
final class ToolOptions {
    @Argument(metaVar = "COMMAND", usage = "the command and its words; see the list below")
    private List<String> arguments = new ArrayList<>();

    @Option(name = "--file", metaVar = "FILE", usage = "tables, in TOML")
    private String file = "";

    @Option(name = "--platform", metaVar = "NAME", usage = "platform plug-in (default http)")
    private String platformPlugin = "http";

    @Option(name = "--platform-address", metaVar = "HOST:PORT", usage = "where the platform answers")
    private String platformAddress = "";

    @Option(name = "--key-file", metaVar = "FILE", usage = "key of the operators' listeners")
    private String keyFile = "";

    @Option(name = "--instances", metaVar = "HOST:PORT,...", usage = "operators' listeners, where the store is down")
    private String instances = "";

    @Option(name = "--repeats", metaVar = "N", usage = "how often a call without an answer is repeated (default 25)")
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
        return json;
    }

    boolean help() {
        return help;
    }
}
