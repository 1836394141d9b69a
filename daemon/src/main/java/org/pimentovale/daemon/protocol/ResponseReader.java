package org.pimentovale.daemon.protocol;

import io.vertx.core.buffer.Buffer;
import org.pimentovale.error.ServingException;

/** Reads one answer of a stage as its bytes arrive. Not thread safe; used on one event loop. */
public interface ResponseReader {
    /**
     * Takes the next bytes.
     *
     * @param chunk the bytes, cut at any place
     * @throws ServingException where they do not belong to the protocol or to this attempt
     */
    void accept(Buffer chunk);

    /**
     * Tells whether the answer is whole, so that the caller need not wait for the end of the body.
     *
     * @return whether the terminal event was seen
     */
    boolean terminated();

    /**
     * Ends the answer.
     *
     * @return the whole result
     * @throws ServingException where the answer is incomplete
     */
    StageResult finish();
}
