package org.pimentovale.kernel.directory;

/** Whether an endpoint may get a request now, and if not, why. */
public enum Availability {
    /** The endpoint may get a request. */
    AVAILABLE(true, false),
    /** The platform does not list the endpoint any more. */
    REMOVED(false, true),
    /** The platform lists the endpoint as draining. */
    DRAINING(false, true),
    /** The endpoint said in a response that it is leaving. */
    LEAVING(false, true),
    /** The endpoint's availability zone is withdrawn. */
    ZONE_WITHDRAWN(false, false),
    /** The endpoint refused a request and named a delay that has not passed. */
    THROTTLED(true, false),
    /** The endpoint takes requests again after a delay, and as many as it may get at first are running. */
    SLOW_START(true, false),
    /** No permit is expected within the rate limit that the endpoint named. */
    RATE_LIMITED(true, false),
    /** The endpoint is cold and this instance has used its part of the rate that it tolerates. */
    COLD_LIMITED(true, false);

    private final boolean serving;
    private final boolean announcesEnd;

    Availability(boolean serving, boolean announcesEnd) {
        this.serving = serving;
        this.announcesEnd = announcesEnd;
    }

    /**
     * Tells whether the endpoint takes new work, now or after a wait.
     *
     * @return false if it gets no new work any more, or not before the platform's list changes
     */
    public boolean serving() {
        return serving;
    }

    /**
     * Tells whether the endpoint itself is about to end. The withdrawal of its availability zone says nothing of that.
     *
     * @return whether the end of its process is no crash
     */
    public boolean announcesEnd() {
        return announcesEnd;
    }
}
