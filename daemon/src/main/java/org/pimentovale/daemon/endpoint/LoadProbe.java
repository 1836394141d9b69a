package org.pimentovale.daemon.endpoint;

import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.plugin.Plugin;

/** How endpoints are asked for their load. Implementations are stateless and thread safe. */
public interface LoadProbe extends Plugin {
    /**
     * Returns the path of the report.
     *
     * @return an absolute path
     */
    String path();

    /**
     * Reads a report.
     *
     * @param status the HTTP status
     * @param body the body
     * @return the report
     */
    LoadReport parse(int status, byte[] body);
}
