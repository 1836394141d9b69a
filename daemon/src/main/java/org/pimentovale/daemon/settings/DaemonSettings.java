package org.pimentovale.daemon.settings;

import java.util.List;

/**
 * All settings of an entry daemon. Immutable and thread safe.
 *
 * @param name the instance's name, to which a start identifier is added
 * @param zone its availability zone
 * @param workers number of event loops that serve callers
 * @param logLevel lowest level that is logged
 * @param routingPolicy name of the routing policy
 * @param callerListener the callers' listener
 * @param operatorListener the operators' listener
 * @param peerListener the listener for other instances
 * @param peerSeeds peer addresses to ask while the platform is unavailable
 * @param platformPlugin name of the platform plug-in
 * @param platformAddress where the platform answers
 * @param platformTimeoutMs longest wait for one call of the platform in milliseconds
 * @param tablesFile tables to put in force where the platform holds none, empty for none
 * @param maxBodyBytes the largest request body
 * @param maxQueuedRequests the largest number of waiting requests of a pool
 * @param callerStallTimeoutMs longest time that a caller may leave its answer unread, in milliseconds
 * @param balancerLagMs time that the balancer takes to notice a change of readiness, in milliseconds
 * @param drainTimeoutMs longest time for running requests to finish at a shutdown, in milliseconds
 * @param probesPerSecond the largest number of probes of endpoints a second
 * @param keyRetentionHours age beyond which a key that tells its age is refused
 */
public record DaemonSettings(
        String name,
        String zone,
        int workers,
        String logLevel,
        String routingPolicy,
        ListenerSettings callerListener,
        ListenerSettings operatorListener,
        ListenerSettings peerListener,
        List<String> peerSeeds,
        String platformPlugin,
        String platformAddress,
        int platformTimeoutMs,
        String tablesFile,
        int maxBodyBytes,
        int maxQueuedRequests,
        int callerStallTimeoutMs,
        int balancerLagMs,
        int drainTimeoutMs,
        int probesPerSecond,
        int keyRetentionHours) {}
