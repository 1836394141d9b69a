package org.pimentovale.daemon.settings;

import java.util.List;

/**
 * The settings of an entry daemon. Immutable and thread safe.
 *
 * @param name the instance's name, to which a random suffix is appended at each start
 * @param zone its availability zone
 * @param workers number of event loops that serve callers
 * @param logLevel the lowest level that is logged
 * @param routingPolicy name of the routing policy
 * @param callerListener settings of the listener for callers
 * @param operatorListener settings of the listener for operators
 * @param peerListener settings of the listener for other instances
 * @param peerSeeds peer addresses to contact while no other instance is known
 * @param platformPlugin name of the platform plug-in
 * @param platformAddress address of the platform
 * @param platformTimeoutMs timeout of a call to the platform, in milliseconds
 * @param tablesFile file with the initial tables, stored if the platform has no configuration; empty for none
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxQueuedRequests maximum number of waiting requests per pool
 * @param callerStallTimeoutMs maximum time for which a caller may leave its response unread, in milliseconds
 * @param balancerLagMs time that the load balancer needs to notice a change of readiness, in milliseconds
 * @param drainTimeoutMs maximum time for running requests to finish at a shutdown, in milliseconds
 * @param probesPerSecond maximum number of endpoint probes per second
 * @param keyRetentionHours maximum age of an idempotency key whose age is known; older keys are refused
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
