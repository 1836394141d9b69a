package org.pimentovale.standin.fleet;

/**
 * The fault of a build: which requests it affects, and how. Immutable and thread safe.
 *
 * <p>A share of the affected requests fails, by their count, so that a run needs no randomness.
 */
public final class BuildFault {
    /** A build without a fault. */
    public static final BuildFault NONE = new BuildFault(0, 1, 0, 0, "");

    private final double failedShare;
    private final double slowdown;
    private final long afterMs;
    private final int minRunning;
    private final String pathPrefix;

    /** How one request is answered; {@code slowdown} multiplies the service time. */
    record Effect(EndpointBehaviour behaviour, double slowdown, boolean bad) {}

    private BuildFault(double failedShare, double slowdown, long afterMs, int minRunning, String pathPrefix) {
        this.failedShare = failedShare;
        this.slowdown = slowdown;
        this.afterMs = afterMs;
        this.minRunning = minRunning;
        this.pathPrefix = pathPrefix;
    }

    /**
     * Returns a fault by which requests fail with status 500.
     *
     * @param share the share of requests that fail, 0 to 1
     * @return the fault
     */
    public static BuildFault failing(double share) {
        return new BuildFault(share, 1, 0, 0, "");
    }

    /**
     * Returns a fault by which all requests take longer.
     *
     * @param factor the factor, above 1
     * @return the fault
     */
    public static BuildFault slower(double factor) {
        return new BuildFault(0, factor, 0, 0, "");
    }

    /**
     * Returns this fault, limited to the time after the build was started.
     *
     * @param ageMs the age of the build in milliseconds from which it is faulty
     * @return the limited fault
     */
    public BuildFault after(long ageMs) {
        return new BuildFault(failedShare, slowdown, ageMs, minRunning, pathPrefix);
    }

    /**
     * Returns this fault, limited to requests that arrive while others run at the same endpoint.
     *
     * @param running the least number of other running requests
     * @return the limited fault
     */
    public BuildFault underLoad(int running) {
        return new BuildFault(failedShare, slowdown, afterMs, running, pathPrefix);
    }

    /**
     * Returns this fault, limited to some paths.
     *
     * @param prefix what the affected paths begin with
     * @return the limited fault
     */
    public BuildFault onPath(String prefix) {
        return new BuildFault(failedShare, slowdown, afterMs, minRunning, prefix);
    }

    Effect effect(String path, long ageMs, int othersRunning, long sequence) {
        if (ageMs < afterMs || othersRunning < minRunning || !path.startsWith(pathPrefix)) {
            return new Effect(EndpointBehaviour.RESPOND, 1, false);
        }
        boolean fails = Math.floor((sequence + 1) * failedShare) > Math.floor(sequence * failedShare);
        return new Effect(fails ? EndpointBehaviour.FAIL : EndpointBehaviour.RESPOND, slowdown, fails || slowdown > 1);
    }
}
