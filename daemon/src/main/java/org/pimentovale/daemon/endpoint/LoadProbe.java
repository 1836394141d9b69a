package org.pimentovale.daemon.endpoint;

import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.plugin.Plugin;

/** Requests and parses the load reports of endpoints. Implementations are stateless and thread safe. */
public interface LoadProbe extends Plugin {
    /**
     * Returns the path of the load report.
     *
     * @return an absolute path
     */
    String path();

    /**
     * Parses the response to a load request.
     *
     * @param status the HTTP status
     * @param body the response body
     * @return the load report
     */
    LoadReport parse(int status, byte[] body);
}
