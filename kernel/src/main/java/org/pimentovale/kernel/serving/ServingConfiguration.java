package org.pimentovale.kernel.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole configuration: routes, services and workspaces, joined by name.
 *
 * <p>Invariant: the routes of a host stand in order of falling length of their path prefixes. Immutable and thread
 * safe.
 */
public final class ServingConfiguration {
    private final long version;
    private final List<ServingRoute> routes;
    private final Map<String, List<ServingRoute>> routesByHost = new HashMap<>();
    private final Map<String, ServingService> services = new HashMap<>();
    private final Map<String, ServingWorkspace> workspacesByKey = new HashMap<>();
    private final boolean keysRequired;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version the operators' version
     * @param routes the routes
     * @param services the services
     * @param workspaces the workspaces; none means that callers need no keys
     * @param limits what callers may send
     */
    public ServingConfiguration(
            long version,
            List<ServingRoute> routes,
            List<ServingService> services,
            List<ServingWorkspace> workspaces,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.keysRequired = !workspaces.isEmpty();
        this.limits = limits;
        routes.forEach(route -> routesByHost
                .computeIfAbsent(route.host(), unused -> new ArrayList<>())
                .add(route));
        routesByHost.values().forEach(ServingConfiguration::sortLongestFirst);
        services.forEach(service -> this.services.put(service.name(), service));
        workspaces.forEach(workspace -> workspace.keys().forEach(key -> workspacesByKey.put(key, workspace)));
    }

    private static void sortLongestFirst(List<ServingRoute> routes) {
        routes.sort(Comparator.comparingInt(
                        (ServingRoute route) -> route.pathPrefix().length())
                .reversed());
    }

    /**
     * Returns the operators' version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns all routes.
     *
     * @return the routes
     */
    public List<ServingRoute> routes() {
        return routes;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host that the caller named, with or without a port
     * @param path the path without its query
     * @return the route with the longest prefix, or empty
     */
    public Optional<ServingRoute> route(String host, String path) {
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty
     */
    public Optional<ServingService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services, in no order
     */
    public List<ServingService> services() {
        return List.copyOf(services.values());
    }

    /**
     * Tells whether routes that are not open need a key.
     *
     * @return whether they do
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Finds the workspace of a key.
     *
     * @param key the key
     * @return the workspace, or empty where the key is unknown
     */
    public Optional<ServingWorkspace> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /**
     * Returns what callers may send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
