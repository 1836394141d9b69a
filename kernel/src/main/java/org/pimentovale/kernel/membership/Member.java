package org.pimentovale.kernel.membership;

/**
 * An entry instance, as it registers itself. Immutable and thread safe.
 *
 * @param name unique name, new with each start
 * @param zone its availability zone
 * @param peerAddress where it listens for other instances
 * @param operatorAddress where it listens for operators
 */
public record Member(String name, String zone, String peerAddress, String operatorAddress) {}
