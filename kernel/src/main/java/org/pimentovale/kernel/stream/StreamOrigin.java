package org.pimentovale.kernel.stream;

/**
 * The software that runs a stream from its beginning.
 *
 * @param service the name of the service
 * @param build the version of the service's software
 * @param dispatch how often the attempt has been sent to an endpoint, since a later one replaces an earlier one that
 *     brought no event
 */
public record StreamOrigin(String service, String build, int dispatch) {
    /**
     * Returns the origin that is in force if two are known for one attempt.
     *
     * @param other the other origin
     * @return the one that was dispatched later
     */
    public StreamOrigin laterOf(StreamOrigin other) {
        return other.dispatch > dispatch ? other : this;
    }
}
