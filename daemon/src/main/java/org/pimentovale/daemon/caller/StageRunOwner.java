package org.pimentovale.daemon.caller;

import org.pimentovale.table.Stage;

/** The request to which a stage run belongs. Used on the request's event loop. */
interface StageRunOwner {
    /** Receives a piece of text of a streamed response. */
    void writeDelta(String text);

    /** Tells whether an attempt may be sent: false after the response, the deadline or the caller's disconnect. */
    boolean mayDispatch();

    /** Called immediately before the first byte of an attempt is sent. */
    void recordDispatch(Stage stage);

    /** Called when the latest dispatched attempt is known not to have run. */
    void recordNotRun(Stage stage);

    /** Tells whether a part of the response was sent to the caller. */
    boolean responseStarted();

    /** Sets the time after which the caller may retry, in milliseconds from now. */
    void setRetryAfterMs(long retryAfterMs);
}
