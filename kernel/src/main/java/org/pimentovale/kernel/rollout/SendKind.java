package org.pimentovale.kernel.rollout;

/** Why a request is sent to an endpoint. Immutable and thread safe. */
public enum SendKind {
    /** The request has not been sent before. */
    FIRST,
    /** The request was sent to another endpoint before. */
    RETRY,
    /** The request takes up a stream, which must stay at the build that began it. */
    RESUMED
}
