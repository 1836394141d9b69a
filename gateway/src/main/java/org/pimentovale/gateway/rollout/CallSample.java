package org.pimentovale.gateway.rollout;

/**
 * One call to an endpoint, as evidence for the test of a build.
 *
 * <p>A call that ends without a result, such as a refusal or a caller that disconnected, is not counted. Not thread
 * safe; used on one event loop.
 */
public interface CallSample {
    /** A call that is not recorded. */
    CallSample NONE = new CallSample() {};

    /** Records the first event of a stream. */
    default void firstEvent() {}

    /**
     * Records how many events a stream had.
     *
     * @param count the number of complete events
     */
    default void events(int count) {}

    /**
     * Records the end of a whole response.
     *
     * @param failed whether its status says that the request failed
     */
    default void answered(boolean failed) {}

    /** Records that the endpoint did not give a whole response although it may have run the request. */
    default void failed() {}

    /** Records that the endpoint was lost while it ran the request. */
    default void lost() {}

    /** Ends the call; the result may be recorded before or after that. */
    default void end() {}
}
