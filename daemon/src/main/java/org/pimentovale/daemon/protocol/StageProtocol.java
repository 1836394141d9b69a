package org.pimentovale.daemon.protocol;

import java.util.function.Consumer;
import org.pimentovale.plugin.Plugin;

/** The HTTP protocol of a kind of endpoint. Implementations are stateless and thread safe. */
public interface StageProtocol extends Plugin {
    /**
     * Returns the path of the call.
     *
     * @param request request to the stage
     * @return an absolute path, without scheme and host
     */
    String path(StageRequest request);

    /**
     * Writes the body of the call.
     *
     * @param request request to the stage
     * @return JSON text in UTF-8
     */
    byte[] body(StageRequest request);

    /**
     * Creates the reader of one response.
     *
     * @param request request that was sent
     * @param status HTTP status of the response
     * @param deltaHandler called with each piece of text of a streamed response
     * @return a reader for the body of this response
     */
    ResponseReader createReader(StageRequest request, int status, Consumer<String> deltaHandler);
}
