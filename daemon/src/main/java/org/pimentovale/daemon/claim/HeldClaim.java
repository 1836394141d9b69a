package org.pimentovale.daemon.claim;

import org.pimentovale.kernel.claim.ClaimRecord;

/**
 * A claim as it stands in the store. Immutable and thread safe.
 *
 * @param name its name in the store
 * @param version the stored object's version
 * @param claim the claim
 */
public record HeldClaim(String name, long version, ClaimRecord claim) {}
