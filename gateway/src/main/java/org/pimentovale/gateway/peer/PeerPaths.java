package org.pimentovale.gateway.peer;

/** Paths and headers of the requests between gateways. */
public final class PeerPaths {
    /** Submits a stage; the response is sent when its results are available. */
    public static final String STAGE_WORK = "/stage-work";
    /** Releases results that are no longer needed. */
    public static final String STAGE_RELEASE = "/stage-release";
    /** Reports a lost endpoint with the requests that it had not begun to answer. */
    public static final String SUSPECT = "/suspect";
    /** Announces that a suspect key is quarantined or released. */
    public static final String QUARANTINE = "/quarantine";
    /** Asks for a permit to send a request to an endpoint with a rate limit. */
    public static final String PERMIT = "/permit";
    /** Announces that an endpoint names no rate limit any more. */
    public static final String LIMIT_LIFTED = "/limit-lifted";
    /** Asks what was confirmed before the store was restored. */
    public static final String CONFIRMED = "/confirmed-objects";
    /** Records where a stream begins. */
    public static final String STREAM_ORIGIN = "/stream-origin";
    /** Asks where a stream began. */
    public static final String STREAM_ORIGIN_LOOKUP = "/stream-origin-lookup";
    /** Reports evidence on a roll-out to its decider; the response is the phase. */
    public static final String ROLLOUT_EVIDENCE = "/rollout-evidence";
    /** Announces a phase of a roll-out. */
    public static final String ROLLOUT_PHASE = "/rollout-phase";
    /** Shows what a gateway knows of roll-outs. */
    public static final String ROLLOUTS = "/rollouts";
    /** Reports on the hedges of a service to their owner; the response grants permits. */
    public static final String HEDGE_REPORT = "/hedge-report";
    /** Liveness check; status 503 while the gateway is draining. */
    public static final String ALIVE = "/alive";

    /** Response header of {@link #ALIVE}: the time since the gateway's start, in milliseconds. */
    public static final String UPTIME_MS = "Uptime-Ms";

    /** Response header of {@link #ALIVE}: what the gateway last heard from the store, see the class ContactReport. */
    public static final String STORE_CONTACT = "Store-Contact";

    private PeerPaths() {}
}
