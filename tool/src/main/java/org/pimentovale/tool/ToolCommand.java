package org.pimentovale.tool;

import org.pimentovale.plugin.Plugin;

/**
 * A command of the tool, registered under its name of one or two words. Implementations are stateless and thread safe.
 */
public interface ToolCommand extends Plugin {
    /**
     * Returns a short description of the command.
     *
     * @return one line of help, with the arguments and options that the command takes
     */
    String help();

    /**
     * Runs the command.
     *
     * @param session the options, the platform and the output of this invocation
     * @return the exit code; a failed operation throws a {@link org.pimentovale.error.ServingException} instead
     */
    ExitCode run(ToolSession session);
}
