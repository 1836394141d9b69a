package org.pimentovale.table;

import java.util.ArrayList;
import java.util.List;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * One accepted version of everything that operators decide: both tables and the zones taken out.
 *
 * <p>Invariant: a version is a single stored value, so that no table is seen without the other; of two versions the one
 * with the greater revision is newer. Immutable and thread safe.
 *
 * @param schema the version of this layout
 * @param revision counts accepted changes, from one
 * @param recentChanges the identifiers of the latest changes, the newest last
 * @param tables the two tables
 * @param withdrawnZones availability zones that must receive no new work
 */
public record Configuration(
        int schema, long revision, List<String> recentChanges, Tables tables, List<String> withdrawnZones) {
    /** The layout that this program reads and writes. */
    public static final int SCHEMA = 1;

    private static final int MAX_RECENT_CHANGES = 128;

    /** The state before the first accepted change. */
    public static final Configuration NONE = new Configuration(SCHEMA, 0, List.of(), Tables.EMPTY, List.of());

    /**
     * Returns the successor of this version.
     *
     * @param changeIdentifier names the change
     * @param newTables the tables of the successor
     * @param newWithdrawnZones the withdrawn zones of the successor
     * @return the successor, with the next revision
     */
    public Configuration next(String changeIdentifier, Tables newTables, List<String> newWithdrawnZones) {
        List<String> changes = new ArrayList<>(recentChanges);
        changes.add(changeIdentifier);
        while (changes.size() > MAX_RECENT_CHANGES) {
            changes.remove(0);
        }
        return new Configuration(SCHEMA, revision + 1, List.copyOf(changes), newTables, newWithdrawnZones);
    }

    /**
     * Reads a stored version.
     *
     * @param bytes the stored value
     * @return the configuration
     * @throws ServingException with {@link ErrorCode#OBJECT_DAMAGED} where the value is damaged, has another schema, or
     *     its tables do not fit together
     */
    public static Configuration parse(byte[] bytes) {
        Configuration configuration = Json.read(bytes, Configuration.class);
        if (configuration.schema != SCHEMA) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "schema " + configuration.schema);
        }
        if (configuration.revision < 0
                || configuration.recentChanges == null
                || configuration.withdrawnZones == null
                || configuration.tables == null
                || configuration.tables.routes() == null
                || configuration.tables.pools() == null) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "a part is missing");
        }
        for (Route route : configuration.tables.routes()) {
            for (Stage stage : route.stages()) {
                if (configuration.tables.pool(stage.pool()).isEmpty()) {
                    throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "unknown pool " + stage.pool());
                }
            }
        }
        return configuration;
    }

    /**
     * Tells whether work may go to a zone.
     *
     * @param zone the availability zone
     * @return false where operators have taken it out
     */
    public boolean isZoneInService(String zone) {
        return !withdrawnZones.contains(zone);
    }
}
