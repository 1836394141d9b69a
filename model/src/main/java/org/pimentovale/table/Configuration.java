package org.pimentovale.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * A version of the operators' configuration: the route and pool tables and the withdrawn availability zones.
 *
 * <p>Invariant: a version is stored as a single value, so that both tables always change together; of two versions the
 * one with the greater revision is newer. Immutable and thread safe.
 *
 * @param schema the version of the stored format
 * @param revision the number of accepted changes; the first stored version has revision one
 * @param recentChanges the identifiers of the latest changes, in order, the newest last
 * @param tables the route and pool tables
 * @param withdrawnZones the availability zones that must receive no new work
 */
public record Configuration(
        int schema, long revision, List<String> recentChanges, Tables tables, List<String> withdrawnZones) {
    /** The version of the stored format that this program reads and writes. */
    public static final int SCHEMA = 1;

    private static final int MAX_RECENT_CHANGES = 128;

    /** The empty configuration before the first accepted change. */
    public static final Configuration NONE = new Configuration(SCHEMA, 0, List.of(), Tables.EMPTY, List.of());

    /**
     * Creates the version that follows this one.
     *
     * @param changeIdentifier the identifier of the change
     * @param newTables the tables of the new version
     * @param newWithdrawnZones the withdrawn zones of the new version
     * @return the new version, with the next revision
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
     * Parses and validates a stored version.
     *
     * @param bytes the stored value, JSON in UTF-8
     * @return the configuration
     * @throws ServingException with {@link ErrorCode#OBJECT_DAMAGED} if the value is not valid JSON, has another
     *     schema, lacks a field, or has a route that refers to an unknown pool
     */
    public static Configuration parse(byte[] bytes) {
        Configuration configuration = Json.read(bytes, Configuration.class);
        if (configuration.schema != SCHEMA) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "unsupported schema " + configuration.schema);
        }
        if (configuration.revision < 0
                || configuration.recentChanges == null
                || configuration.withdrawnZones == null
                || configuration.tables == null
                || configuration.tables.routes() == null
                || configuration.tables.pools() == null) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "missing field or negative revision");
        }
        requireElements(configuration.tables.pools());
        requireElements(configuration.tables.routes());
        for (Route route : configuration.tables.routes()) {
            requireElements(route.stages());
            for (Stage stage : route.stages()) {
                if (configuration.tables.pool(stage.pool()).isEmpty()) {
                    throw ServingException.notRun(
                            ErrorCode.OBJECT_DAMAGED, "route refers to unknown pool " + stage.pool());
                }
            }
        }
        return configuration;
    }

    private static void requireElements(List<?> list) {
        if (list == null || list.stream().anyMatch(Objects::isNull)) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "missing element of a list");
        }
    }

    /**
     * Returns whether an availability zone may receive work.
     *
     * @param zone the zone's name
     * @return false if operators have withdrawn the zone
     */
    public boolean isZoneInService(String zone) {
        return !withdrawnZones.contains(zone);
    }
}
