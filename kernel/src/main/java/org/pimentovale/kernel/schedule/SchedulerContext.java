package org.pimentovale.kernel.schedule;

import java.util.Set;

/**
 * What a scheduler has to know of the world beyond its pool. Immutable and thread safe.
 *
 * @param withdrawnZones availability zones that operators have taken out
 * @param leavingAddresses endpoints that the platform is about to take away
 * @param instanceCount number of live entry instances, at least one
 * @param instanceName this instance's name
 * @param instanceZone this instance's availability zone
 */
public record SchedulerContext(
        Set<String> withdrawnZones,
        Set<String> leavingAddresses,
        int instanceCount,
        String instanceName,
        String instanceZone) {}
