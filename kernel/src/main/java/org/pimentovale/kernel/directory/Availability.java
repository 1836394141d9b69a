package org.pimentovale.kernel.directory;

/** Whether an endpoint may get a request now, and if not, why. */
public enum Availability {
    /** The endpoint may get a request. */
    AVAILABLE(true),
    /** The platform does not list the endpoint any more. */
    REMOVED(false),
    /** The platform lists the endpoint as draining. */
    DRAINING(false),
    /** The endpoint said in a response that it is leaving. */
    LEAVING(false),
    /** The endpoint's availability zone is withdrawn. */
    ZONE_WITHDRAWN(false),
    /** The endpoint refused a request and named a delay that has not passed. */
    THROTTLED(true),
    /** The endpoint takes requests again after a delay, and as many as it may get at first are running. */
    SLOW_START(true),
    /** No permit is expected within the rate limit that the endpoint named. */
    RATE_LIMITED(true),
    /** The endpoint is cold and this instance has used its part of the rate that it tolerates. */
    COLD_LIMITED(true);

    private final boolean serving;

    Availability(boolean serving) {
        this.serving = serving;
    }

    /**
     * Tells whether the endpoint takes new work, now or after a wait.
     *
     * @return false if it gets no new work any more, or not before the platform's list changes
     */
    public boolean serving() {
        return serving;
    }
}
