package org.pimentovale.tool;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.PrintStream;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.pimentovale.error.ServingException;
import org.pimentovale.plugin.PluginRegistry;

/** The entry point of the operators' command-line tool. */
public final class OperatorTool {
    private OperatorTool() {}

    /**
     * Runs one command and exits the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs one command.
     *
     * @param arguments the command line
     * @param output receives the result, or the help if it was requested
     * @param errors receives error messages, and the help if the command line is invalid
     * @return the number of an {@link ExitCode}
     */
    public static int run(String[] arguments, PrintStream output, PrintStream errors) {
        ToolOptions options = new ToolOptions();
        CmdLineParser parser = new CmdLineParser(options);
        PluginRegistry<ToolCommand> commands = new PluginRegistry<>(ToolCommand.class);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException failure) {
            errors.println(failure.getMessage());
            printHelp(parser, commands, errors);
            return ExitCode.USAGE.number();
        }
        Optional<String> name = CommandName.find(options.arguments(), commands.names());
        if (options.help() || name.isEmpty()) {
            printHelp(parser, commands, options.help() ? output : errors);
            return options.help() ? ExitCode.DONE.number() : ExitCode.USAGE.number();
        }
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        try {
            return commands.get(name.get())
                    .run(new ToolSession(vertx, options, output))
                    .number();
        } catch (ServingException failure) {
            errors.println(failure.getMessage());
            errors.println(failure.code().advice());
            return ExitCode.of(failure.code()).number();
        } finally {
            vertx.close();
        }
    }

    private static void printHelp(CmdLineParser parser, PluginRegistry<ToolCommand> commands, PrintStream stream) {
        stream.println("pimentovale COMMAND [OPTION ...]");
        stream.println();
        commands.names()
                .forEach(name ->
                        stream.printf("  %-24s %s%n", name, commands.get(name).help()));
        stream.println();
        parser.printUsage(stream);
        stream.println();
        stream.println("Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 not confirmed, 5 unavailable.");
        stream.println("Example: pimentovale zone out it-north-b --platform-address 127.0.0.1:9000 --key-file key");
    }
}
