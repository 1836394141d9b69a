package org.pimentovale.kernel.endpoint;

import java.util.Optional;

/**
 * What an endpoint reports of itself. Immutable and thread safe.
 *
 * @param incarnation changes with each start of the endpoint, empty where it reports none
 * @param inFlight requests that it runs, over all instances
 * @param cold whether it is cold, where it says so
 */
public record LoadReport(String incarnation, int inFlight, Optional<Boolean> cold) {}
