package org.pimentovale.table;

import java.util.List;
import java.util.Optional;

/**
 * The route and pool tables; stages of routes refer to pools by name. Immutable and thread safe.
 *
 * @param routes the routes, one for each kind of request
 * @param pools the pools of endpoints
 */
public record Tables(List<Route> routes, List<Pool> pools) {
    /** Tables without entries. */
    public static final Tables EMPTY = new Tables(List.of(), List.of());

    /**
     * Finds the route of a kind of request.
     *
     * @param kind the kind of request
     * @return the route, empty if there is none for the kind
     */
    public Optional<Route> route(String kind) {
        return routes.stream().filter(route -> route.kind().equals(kind)).findFirst();
    }

    /**
     * Finds a pool by name.
     *
     * @param name the pool's name
     * @return the pool, empty if there is none with the name
     */
    public Optional<Pool> pool(String name) {
        return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
    }
}
