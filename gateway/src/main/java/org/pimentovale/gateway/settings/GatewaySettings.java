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
 * @param linkMbps the bandwidth of the machine's network link in megabits per second, zero if unknown
 * @param shutdownTimeoutMs the maximum time from the termination signal to the exit, in milliseconds
 * @param retry the retry budget of each service
 * @param features the settings of the optional features
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
        double linkMbps,
        int shutdownTimeoutMs,
        RetryBudgetSettings retry,
        FeatureSettings features,
        String logLevel) {
    /**
     * Returns these settings with another bandwidth of the link.
     *
     * @param megabitsPerSecond the bandwidth
     * @return the changed settings
     */
    public GatewaySettings withLinkMbps(double megabitsPerSecond) {
        return new GatewaySettings(
                name,
                zone,
                platform,
                storeAddress,
                callerAddress,
                readinessAddress,
                peerAddress,
                megabitsPerSecond,
                shutdownTimeoutMs,
                retry,
                features,
                logLevel);
    }

    /**
     * Returns these settings with other optional features.
     *
     * @param changed the settings of the features
     * @return the changed settings
     */
    public GatewaySettings withFeatures(FeatureSettings changed) {
        return new GatewaySettings(
                name,
                zone,
                platform,
                storeAddress,
                callerAddress,
                readinessAddress,
                peerAddress,
                linkMbps,
                shutdownTimeoutMs,
                retry,
                changed,
                logLevel);
    }

    /**
     * The retry budget of a service. All gateways share it; each may use an equal part of the slack.
     *
     * @param ratio retries allowed per first attempt, for the first attempts of the gateway itself
     * @param slack retries per window, over all gateways, that are allowed in addition to those of the ratio
     * @param windowMs the length of the sliding window in milliseconds
     */
    public record RetryBudgetSettings(double ratio, double slack, long windowMs) {}
}
