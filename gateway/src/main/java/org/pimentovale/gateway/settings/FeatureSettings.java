package org.pimentovale.gateway.settings;

import java.util.Optional;
import java.util.OptionalDouble;
import org.pimentovale.kernel.hedge.HedgeSettings;
import org.pimentovale.kernel.rollout.RolloutSettings;

/**
 * The settings of features that are off unless they are named.
 *
 * @param rollout the bounds of roll-outs, empty if the gateway does not read roll-outs
 * @param hedge the limit of hedged requests
 * @param engineMemory whether endpoints without memory for a request's tokens are avoided
 * @param fairQueueing whether workspaces and routes get fair shares of a backlog of stage work
 * @param storeReadsPerSecond the store's limit of read calls from all gateways, empty if unknown
 * @param responseMemoryBytes the memory for responses to callers that read slowly, zero if they are not read ahead
 * @param storeSilence how late changes may be known on connections to the store that have gone silent
 */
public record FeatureSettings(
        Optional<RolloutSettings> rollout,
        HedgeSettings hedge,
        boolean engineMemory,
        boolean fairQueueing,
        OptionalDouble storeReadsPerSecond,
        long responseMemoryBytes,
        StoreSilence storeSilence) {
    /** No optional feature is on. */
    public static final FeatureSettings NONE =
            new FeatureSettings(Optional.empty(), HedgeSettings.OFF, false, false, OptionalDouble.empty());

    /**
     * Creates settings without a limit on silence of the store.
     *
     * @param rollout the bounds of roll-outs, empty if the gateway does not read roll-outs
     * @param hedge the limit of hedged requests
     * @param engineMemory whether endpoints without memory for a request's tokens are avoided
     * @param fairQueueing whether workspaces and routes get fair shares of a backlog of stage work
     * @param storeReadsPerSecond the store's limit of read calls from all gateways, empty if unknown
     * @param responseMemoryBytes the memory for responses to callers that read slowly
     */
    public FeatureSettings(
            Optional<RolloutSettings> rollout,
            HedgeSettings hedge,
            boolean engineMemory,
            boolean fairQueueing,
            OptionalDouble storeReadsPerSecond,
            long responseMemoryBytes) {
        this(rollout, hedge, engineMemory, fairQueueing, storeReadsPerSecond, responseMemoryBytes, StoreSilence.NONE);
    }

    /**
     * Creates settings without memory for responses.
     *
     * @param rollout the bounds of roll-outs, empty if the gateway does not read roll-outs
     * @param hedge the limit of hedged requests
     * @param engineMemory whether endpoints without memory for a request's tokens are avoided
     * @param fairQueueing whether workspaces and routes get fair shares of a backlog of stage work
     * @param storeReadsPerSecond the store's limit of read calls from all gateways, empty if unknown
     */
    public FeatureSettings(
            Optional<RolloutSettings> rollout,
            HedgeSettings hedge,
            boolean engineMemory,
            boolean fairQueueing,
            OptionalDouble storeReadsPerSecond) {
        this(rollout, hedge, engineMemory, fairQueueing, storeReadsPerSecond, 0);
    }
}
