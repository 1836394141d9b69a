package org.pimentovale.gateway.suspect;

import java.util.Optional;

/**
 * A message between gateways about a request whose endpoints were lost.
 *
 * @param fingerprint identifies the request across all its attempts
 * @param lostEndpoint the endpoint that was lost, empty if the request is quarantined
 */
public record SuspectReport(String fingerprint, Optional<String> lostEndpoint) {}
