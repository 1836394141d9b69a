package org.pimentovale.gateway.caller;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.serving.ServingRoute;

/**
 * How often one request was sent to endpoints, and whether it may have run.
 *
 * <p>Invariant: the number of endpoints that may have run the request is at most the number of times that it was sent.
 * Not thread safe; used on one event loop.
 */
final class SendHistory {
    private final ServingRoute route;
    private int sends;
    private int endpointsThatMayHaveRun;

    SendHistory(ServingRoute route) {
        this.route = route;
    }

    /** Records that the request is sent to an endpoint, and returns how often it was sent, this time included. */
    int recordSend() {
        sends++;
        return sends;
    }

    boolean sentBefore() {
        return sends > 0;
    }

    /** Records that an endpoint to which the request was sent may have run it. */
    void recordPossibleRun() {
        endpointsThatMayHaveRun++;
    }

    boolean mayHaveRun() {
        return endpointsThatMayHaveRun > 0;
    }

    /** Tells whether the route allows that the request is sent to another endpoint. */
    boolean allowsAnotherEndpoint() {
        return route.allowsRetry() && endpointsThatMayHaveRun < route.maximumEndpoints();
    }

    /** Tells whether the route allows another endpoint even if the given number of running attempts run the request. */
    boolean allowsAnotherBeside(int runningAttempts) {
        return route.allowsRetry() && endpointsThatMayHaveRun + runningAttempts < route.maximumEndpoints();
    }

    /** Creates a failure whose outcome is "not run" unless an endpoint may have run the request. */
    ServingException createFailure(ErrorCode code, String detail) {
        return mayHaveRun() ? ServingException.unknown(code, detail) : ServingException.notRun(code, detail);
    }
}
