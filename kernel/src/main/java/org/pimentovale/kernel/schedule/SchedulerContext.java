package org.pimentovale.kernel.schedule;

import java.util.Set;

/**
 * Input to a pool's scheduler that is not part of the pool's configuration. Immutable and thread safe.
 *
 * @param withdrawnZones availability zones that operators have withdrawn from service
 * @param leavingAddresses addresses of endpoints that the platform is about to remove
 * @param instanceCount number of live entry instances, at least one
 * @param instanceName name of this instance
 * @param instanceZone availability zone of this instance
 */
public record SchedulerContext(
        Set<String> withdrawnZones,
        Set<String> leavingAddresses,
        int instanceCount,
        String instanceName,
        String instanceZone) {}
