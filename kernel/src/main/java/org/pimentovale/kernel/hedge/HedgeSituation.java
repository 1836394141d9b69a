package org.pimentovale.kernel.hedge;

/**
 * What is known at the moment at which a response is slower than usual.
 *
 * @param remainingMs the time until the caller's deadline, in milliseconds
 * @param usualMs the duration that most responses do not exceed, in milliseconds
 * @param attemptAllowed whether the route allows another attempt beside the running one
 * @param shuttingDown whether the gateway shuts down
 * @param suspected whether the request or a part of its prompt may have crashed an endpoint
 * @param occupiedShare the calls at the available endpoints of the service, divided by their slots
 * @param endpointFound whether another endpoint may get the second copy
 * @param retryBudgetLeft the share of the retry budget that is left, between zero and one
 */
public record HedgeSituation(
        long remainingMs,
        long usualMs,
        boolean attemptAllowed,
        boolean shuttingDown,
        boolean suspected,
        double occupiedShare,
        boolean endpointFound,
        double retryBudgetLeft) {}
