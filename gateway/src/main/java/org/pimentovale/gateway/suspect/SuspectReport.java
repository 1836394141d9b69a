package org.pimentovale.gateway.suspect;

import java.util.Optional;

/**
 * What gateways tell each other of a request that runs on endpoints which are lost.
 *
 * @param fingerprint names the request over all its attempts
 * @param lostEndpoint the endpoint that was lost, empty where the request is not to run any more
 */
public record SuspectReport(String fingerprint, Optional<String> lostEndpoint) {}
