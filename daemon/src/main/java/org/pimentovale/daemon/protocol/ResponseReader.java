package org.pimentovale.daemon.protocol;

import io.vertx.core.buffer.Buffer;
import org.pimentovale.error.ServingException;
import org.pimentovale.response.BodyFraming;

/** Parses one response of a stage incrementally. Not thread safe; used on one event loop. */
public interface ResponseReader {
    /**
     * Parses the next bytes.
     *
     * @param chunk the bytes, split at any position
     * @throws ServingException if they violate the protocol or belong to another attempt
     */
    void accept(Buffer chunk);

    /**
     * Tells whether the response is complete, so that the end of the body need not be awaited.
     *
     * @return whether the terminal event was read; false for protocols without one
     */
    boolean terminated();

    /**
     * Completes the response.
     *
     * @param framing how the end of the body is marked
     * @param requestWritten whether the request was written as a whole
     * @return the complete result
     * @throws ServingException if the response is incomplete or cannot be parsed
     */
    StageResult finish(BodyFraming framing, boolean requestWritten);
}
