package org.pimentovale.table;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/** Three-way merge and comparison of tables, entry by entry. Stateless and thread safe. */
public final class TablesMerge {
    private TablesMerge() {}

    /**
     * The result of a merge. Immutable and thread safe.
     *
     * @param tables the merged tables, valid only if there are no conflicts
     * @param conflicts a line for each entry that both sides changed differently, as {@code pool NAME} or {@code route
     *     KIND}, and for each route that uses a removed pool
     */
    public record Result(Tables tables, List<String> conflicts) {}

    /**
     * Merges the changes of two sides to common base tables.
     *
     * @param base the tables on which both sides are based
     * @param mine the tables of one side
     * @param theirs the tables of the other side
     * @return the merged tables and the conflicts
     */
    public static Result merge(Tables base, Tables mine, Tables theirs) {
        List<String> conflicts = new ArrayList<>();
        List<Pool> pools = mergeEntries("pool ", base.pools(), mine.pools(), theirs.pools(), Pool::name, conflicts);
        List<Route> routes =
                mergeEntries("route ", base.routes(), mine.routes(), theirs.routes(), Route::kind, conflicts);
        Tables merged = new Tables(routes, pools);
        for (Route route : routes) {
            for (Stage stage : route.stages()) {
                if (merged.pool(stage.pool()).isEmpty()) {
                    conflicts.add("route " + route.kind() + " uses removed pool " + stage.pool());
                }
            }
        }
        return new Result(merged, List.copyOf(conflicts));
    }

    private static <T> List<T> mergeEntries(
            String label,
            List<T> base,
            List<T> mine,
            List<T> theirs,
            Function<T, String> name,
            List<String> conflicts) {
        Map<String, T> baseByName = indexByName(base, name);
        Map<String, T> mineByName = indexByName(mine, name);
        Map<String, T> theirsByName = indexByName(theirs, name);
        Set<String> names = new LinkedHashSet<>(theirsByName.keySet());
        names.addAll(mineByName.keySet());
        List<T> merged = new ArrayList<>();
        for (String key : names) {
            T baseEntry = baseByName.get(key);
            T myEntry = mineByName.get(key);
            T theirEntry = theirsByName.get(key);
            boolean changedByMe = !Objects.equals(myEntry, baseEntry);
            boolean changedByThem = !Objects.equals(theirEntry, baseEntry);
            if (changedByMe && changedByThem && !Objects.equals(myEntry, theirEntry)) {
                conflicts.add(label + key);
            }
            T result = changedByMe ? myEntry : theirEntry;
            if (result != null) {
                merged.add(result);
            }
        }
        return List.copyOf(merged);
    }

    private static <T> Map<String, T> indexByName(List<T> entries, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        entries.forEach(entry -> byName.put(name.apply(entry), entry));
        return byName;
    }

    /**
     * Lists the entries in which two versions differ.
     *
     * @param before the older version
     * @param after the newer version
     * @return a line for each added ({@code +}), removed ({@code -}) or changed ({@code ~}) entry
     */
    public static List<String> difference(Tables before, Tables after) {
        List<String> lines = new ArrayList<>();
        addDifference(lines, "pool ", indexByName(before.pools(), Pool::name), indexByName(after.pools(), Pool::name));
        addDifference(
                lines, "route ", indexByName(before.routes(), Route::kind), indexByName(after.routes(), Route::kind));
        return lines;
    }

    private static <T> void addDifference(
            List<String> lines, String label, Map<String, T> before, Map<String, T> after) {
        Set<String> names = new LinkedHashSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T old = before.get(name);
            T changed = after.get(name);
            if (old == null) {
                lines.add("+ " + label + name + ": " + changed);
            } else if (changed == null) {
                lines.add("- " + label + name + ": " + old);
            } else if (!old.equals(changed)) {
                lines.add("~ " + label + name + ": " + old + " -> " + changed);
            }
        }
    }
}
