package org.pimentovale.bench;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.pimentovale.plugin.PluginRegistry;

/** The entry point of the load driver and the measurements. */
public final class BenchProgram {
    private BenchProgram() {}

    /**
     * Runs the command that the first argument names. Exits with 2 if the command line is invalid.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        BenchOptions options = new BenchOptions();
        CmdLineParser parser = new CmdLineParser(options);
        PluginRegistry<BenchCommand> commands = new PluginRegistry<>(BenchCommand.class);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            System.err.println(failure.getMessage());
            System.exit(2);
        }
        if (!commands.names().contains(options.command())) {
            commands.names()
                    .forEach(name -> System.err.printf(
                            "  %-12s %s%n", name, commands.get(name).help()));
            parser.printUsage(System.err);
            System.exit(2);
        }
        commands.get(options.command()).run(options);
        System.exit(0);
    }
}
