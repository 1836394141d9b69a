package org.pimentovale.gateway.suspect;

import org.pimentovale.kernel.quarantine.SuspectKey;

/**
 * A message between gateways about a decision on a suspect key.
 *
 * @param key the key
 * @param quarantined true if the key is quarantined; false if an answer has shown that it is sound
 */
public record QuarantineNotice(SuspectKey key, boolean quarantined) {}
