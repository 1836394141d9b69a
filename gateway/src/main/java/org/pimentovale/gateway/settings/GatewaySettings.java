package org.pimentovale.gateway.settings;

/**
 * The validated settings of a gateway.
 *
 * @param name names the gateway
 * @param zone its availability zone
 * @param platform the plug-in that speaks the platform's language
 * @param storeAddress host and port of the platform's store
 * @param callerAddress host and port for callers
 * @param readinessAddress host and port for the balancer's readiness question and the metrics
 * @param peerAddress host and port for the other gateways
 * @param shutdownTimeoutMs the longest time between the signal to stop and the end, in milliseconds
 * @param retry bounds of repeats
 * @param logLevel the lowest level of log lines
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
        RetryBounds retry,
        String logLevel) {
    /**
     * Bounds of the repeats of all gateways together.
     *
     * @param ratio repeats for each first send
     * @param slack repeats besides, in one window
     * @param windowMs the window in milliseconds
     */
    public record RetryBounds(double ratio, double slack, long windowMs) {}
}
