package org.pimentovale.gateway.settings;

/**
 * The validated settings of a gateway.
 *
 * @param name the unique name of the gateway
 * @param zone the gateway's availability zone
 * @param platform the name of the plug-in for the platform
 * @param storeAddress host and port of the platform's store
 * @param callerAddress host and port of the listener for callers
 * @param readinessAddress host and port of the listener for the load balancer's readiness check and the metrics
 * @param peerAddress host and port of the listener for other gateways
 * @param shutdownTimeoutMs the maximum time from the termination signal to the exit, in milliseconds
 * @param retry the limits of retries
 * @param logLevel the minimum level of log lines
 */
public record GatewaySettings(
        String name,
        String zone,
        String platform,
        String storeAddress,
        String callerAddress,
        String readinessAddress,
        String peerAddress,
        int shutdownTimeoutMs,
        RetryBudgetSettings retry,
        String logLevel) {
    /**
     * The limits of the retries of all gateways together.
     *
     * @param ratio allowed retries per first attempt
     * @param slack further retries that are allowed in one window
     * @param windowMs the length of the sliding window in milliseconds
     */
    public record RetryBudgetSettings(double ratio, double slack, long windowMs) {}
}
