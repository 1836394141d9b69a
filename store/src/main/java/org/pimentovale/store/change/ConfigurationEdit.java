package org.pimentovale.store.change;

import java.util.ArrayList;
import java.util.List;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Tables;
import org.pimentovale.table.TablesMerge;

/** A change of the configuration, as requested by an operator. Implementations are thread safe. */
@FunctionalInterface
public interface ConfigurationEdit {
    /**
     * Creates the next version of the configuration.
     *
     * @param changeIdentifier the identifier of the change
     * @param current the version to be replaced
     * @return the next version
     * @throws ServingException with {@link ErrorCode#CONFIGURATION_CONFLICT} if the edit conflicts with another change
     */
    Configuration apply(String changeIdentifier, Configuration current);

    /**
     * Returns an edit that replaces the tables and keeps the changes that others have made to other entries since the
     * base. Withdrawn zones are kept, so that a file from before a withdrawal does not return the zone to service.
     *
     * @param base the tables on which the new ones are based
     * @param tables the new tables
     * @return the edit
     */
    static ConfigurationEdit replaceTables(Tables base, Tables tables) {
        return (changeIdentifier, current) -> {
            TablesMerge.Result merged = TablesMerge.merge(base, tables, current.tables());
            if (!merged.conflicts().isEmpty()) {
                throw ServingException.notRun(ErrorCode.CONFIGURATION_CONFLICT, String.join(", ", merged.conflicts()));
            }
            return current.next(changeIdentifier, merged.tables(), current.withdrawnZones());
        };
    }

    /**
     * Returns an edit that withdraws an availability zone from service.
     *
     * @param zone the zone's name
     * @return the edit
     */
    static ConfigurationEdit withdrawZone(String zone) {
        return (changeIdentifier, current) -> {
            List<String> zones = new ArrayList<>(current.withdrawnZones());
            if (!zones.contains(zone)) {
                zones.add(zone);
            }
            return current.next(changeIdentifier, current.tables(), List.copyOf(zones));
        };
    }

    /**
     * Returns an edit that returns an availability zone to service.
     *
     * @param zone the zone's name
     * @return the edit
     */
    static ConfigurationEdit returnZone(String zone) {
        return (changeIdentifier, current) -> {
            List<String> zones = new ArrayList<>(current.withdrawnZones());
            zones.remove(zone);
            return current.next(changeIdentifier, current.tables(), List.copyOf(zones));
        };
    }
}
