package org.pimentovale.gateway.peer;

/** The paths of calls between gateways. */
public final class PeerPaths {
    /** Work on a stage; answered once its results are there. */
    public static final String STAGE_WORK = "/stage-work";
    /** Release of results. */
    public static final String STAGE_RELEASE = "/stage-release";
    /** News of a request that runs on endpoints which are lost. */
    public static final String SUSPECT = "/suspect";
    /** Tells whether a gateway takes work. */
    public static final String ALIVE = "/alive";

    /** How long a gateway has run, a header of the answer to {@link #ALIVE}. */
    public static final String UPTIME_MS = "Uptime-Ms";

    private PeerPaths() {}
}
