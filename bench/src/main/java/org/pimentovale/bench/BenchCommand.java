package org.pimentovale.bench;

import org.pimentovale.plugin.Plugin;

/** A command of the load driver, registered under its name. Implementations are stateless and thread safe. */
public interface BenchCommand extends Plugin {
    /**
     * Returns a short description of the command.
     *
     * @return one line of help
     */
    String help();

    /**
     * Runs the command and writes its result to the file of {@code --output}.
     *
     * @param options the command line
     */
    void run(BenchOptions options);
}
