package org.pimentovale.daemon.claim;

import org.pimentovale.kernel.claim.ClaimRecord;

/**
 * A claim with its name and version in the store. Immutable and thread safe.
 *
 * @param name name of the stored object
 * @param version version of the stored object
 * @param claim the stored claim
 * @param era era of the store in which the claim was confirmed
 */
public record HeldClaim(String name, long version, ClaimRecord claim, long era) {}
