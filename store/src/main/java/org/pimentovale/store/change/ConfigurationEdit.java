package org.pimentovale.store.change;

import java.util.ArrayList;
import java.util.List;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Tables;
import org.pimentovale.table.TablesMerge;

/** A change that an operator wants. Implementations are thread safe. */
@FunctionalInterface
public interface ConfigurationEdit {
    /**
     * Makes the next version.
     *
     * @param changeIdentifier names the change
     * @param current the version to be replaced
     * @return the next version
     * @throws ServingException with {@link ErrorCode#CONFIGURATION_CONFLICT} where another change is in the way
     */
    Configuration apply(String changeIdentifier, Configuration current);

    /**
     * Replaces the tables, keeping what others changed elsewhere since the base. Withdrawn zones are not touched, so
     * that an old file does not bring a zone back.
     *
     * @param base the tables from which the new ones were made
     * @param tables the new tables
     * @return the change
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
     * Takes an availability zone out of service.
     *
     * @param zone the zone
     * @return the change
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
     * Returns an availability zone to service.
     *
     * @param zone the zone
     * @return the change
     */
    static ConfigurationEdit returnZone(String zone) {
        return (changeIdentifier, current) -> {
            List<String> zones = new ArrayList<>(current.withdrawnZones());
            zones.remove(zone);
            return current.next(changeIdentifier, current.tables(), List.copyOf(zones));
        };
    }
}
