package org.pimentovale.gateway.peer;

/** The paths of calls between gateways. */
public final class PeerPaths {
    /** Work on a stage; answered once its results are there. */
    public static final String STAGE_WORK = "/stage-work";
    /** Release of results. */
    public static final String STAGE_RELEASE = "/stage-release";
    /** Tells whether a gateway takes work. */
    public static final String ALIVE = "/alive";

    private PeerPaths() {}
}
