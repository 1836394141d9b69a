package org.pimentovale.gateway.peer;

/** Paths and headers of the requests between gateways. */
public final class PeerPaths {
    /** Submits a stage; the response is sent when its results are available. */
    public static final String STAGE_WORK = "/stage-work";
    /** Releases results that are no longer needed. */
    public static final String STAGE_RELEASE = "/stage-release";
    /** Reports a request whose endpoints were lost. */
    public static final String SUSPECT = "/suspect";
    /** Liveness check; status 503 while the gateway is draining. */
    public static final String ALIVE = "/alive";

    /** Response header of {@link #ALIVE}: the time since the gateway's start, in milliseconds. */
    public static final String UPTIME_MS = "Uptime-Ms";

    private PeerPaths() {}
}
