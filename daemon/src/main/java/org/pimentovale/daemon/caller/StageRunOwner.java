package org.pimentovale.daemon.caller;

import org.pimentovale.table.Stage;

/** The request to which a running stage belongs. Used on the request's event loop. */
interface StageRunOwner {
    /** Passes a piece of text of a streamed answer on. */
    void writeDelta(String text);

    /** Tells whether an attempt may still be sent. */
    boolean mayDispatch();

    /** Is told immediately before the first byte of an attempt is sent. */
    void recordDispatch(Stage stage);

    /** Is told that the attempt dispatched last has not run. */
    void recordNotRun(Stage stage);

    /** Tells whether the caller has received a part of the answer. */
    boolean responseStarted();

    /** Is told when another try may succeed, in milliseconds from now. */
    void setRetryAfterMs(long retryAfterMs);
}
