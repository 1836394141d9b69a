package org.pimentovale.table;

import java.util.List;
import java.util.Optional;

/**
 * The two tables of the operators, joined by the names of pools. Immutable and thread safe.
 *
 * @param routes which kinds of request pass which stages
 * @param pools which endpoints serve a stage
 */
public record Tables(List<Route> routes, List<Pool> pools) {
    /** Tables without any entry. */
    public static final Tables EMPTY = new Tables(List.of(), List.of());

    /**
     * Finds the route of a kind of request.
     *
     * @param kind the kind
     * @return the route, or empty
     */
    public Optional<Route> route(String kind) {
        return routes.stream().filter(route -> route.kind().equals(kind)).findFirst();
    }

    /**
     * Finds a pool.
     *
     * @param name its name
     * @return the pool, or empty
     */
    public Optional<Pool> pool(String name) {
        return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
    }
}
