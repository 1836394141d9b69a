package org.pimentovale.daemon.protocol;

import java.util.function.Consumer;
import org.pimentovale.plugin.Plugin;

/** How a kind of endpoint is called over HTTP. Implementations are stateless and thread safe. */
public interface StageProtocol extends Plugin {
    /**
     * Returns the path of the call.
     *
     * @param request what is asked
     * @return an absolute path
     */
    String path(StageRequest request);

    /**
     * Writes the body of the call.
     *
     * @param request what is asked
     * @return JSON text in UTF-8
     */
    byte[] body(StageRequest request);

    /**
     * Creates the reader of one answer.
     *
     * @param request what was asked
     * @param status the HTTP status of the answer
     * @param deltaHandler is told each piece of text of a streamed answer
     * @return the reader
     */
    ResponseReader createReader(StageRequest request, int status, Consumer<String> deltaHandler);
}
