package org.pimentovale.kernel.membership;

/**
 * The registration of an entry instance. Immutable and thread safe.
 *
 * @param name unique name, which changes with each start
 * @param zone the instance's availability zone
 * @param peerAddress host and port on which it listens for other instances
 * @param operatorAddress host and port on which it listens for operators
 */
public record Member(String name, String zone, String peerAddress, String operatorAddress) {}
