package org.pimentovale.gateway.port;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status the HTTP status
 * @param notRun whether the endpoint states that it has not run the request and will not
 * @param attemptId the attempt that it answers, where it says so
 * @param signed whether it bears the endpoint's signature
 * @param pendingCalls calls that run or wait at the endpoint
 */
public record ResponseHead(int status, boolean notRun, Optional<String> attemptId, boolean signed, OptionalInt pendingCalls) {}
