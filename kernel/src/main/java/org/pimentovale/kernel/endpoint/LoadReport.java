package org.pimentovale.kernel.endpoint;

import java.util.Optional;

/**
 * State that an endpoint reports in response to a probe or handshake. Immutable and thread safe.
 *
 * @param incarnation identifier that changes with each start of the endpoint; the empty string if none is reported
 * @param inFlight number of requests that the endpoint runs, from all instances
 * @param cold whether the endpoint is cold, empty if it does not report this
 */
public record LoadReport(String incarnation, int inFlight, Optional<Boolean> cold) {}
