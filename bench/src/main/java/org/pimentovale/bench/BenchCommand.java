package org.pimentovale.bench;

import org.pimentovale.plugin.Plugin;

/** One measurement, found by its name. Implementations are stateless and thread safe. */
public interface BenchCommand extends Plugin {
    /**
     * Returns what is measured.
     *
     * @return one line of help
     */
    String help();

    /**
     * Measures, and prints one JSON object.
     *
     * @param options the command line
     */
    void run(BenchOptions options);
}
