package org.pimentovale.tool;

import org.pimentovale.plugin.Plugin;

/** One command of the tool, found by its two words. Implementations are stateless and thread safe. */
public interface ToolCommand extends Plugin {
    /**
     * Returns what the command does.
     *
     * @return one line of help, with the words and options that it takes
     */
    String help();

    /**
     * Runs the command.
     *
     * @param session options, platform and output
     * @return the exit code
     */
    ExitCode run(ToolSession session);
}
