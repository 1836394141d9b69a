package org.pimentovale.store.http;

/**
 * The time for a response body once its head has arrived.
 *
 * @param extraMs the time beyond the timeout of the call while bytes arrive, in milliseconds; 0 if the timeout of the
 *     call bounds the body as well
 * @param silenceMs the time without a byte after which the connection counts as silent, in milliseconds
 */
record BodyTime(int extraMs, int silenceMs) {
    /** The body has to arrive within the timeout of its call. */
    static final BodyTime NONE = new BodyTime(0, 0);

    /** Tells whether a body may take longer than the timeout of its call. */
    boolean extendsCall() {
        return extraMs > 0;
    }
}
