package org.pimentovale.kernel.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A complete configuration of routes, services and workspaces, which refer to each other by name.
 *
 * <p>Invariant: the routes of a host are sorted by descending length of their path prefixes. Immutable and thread safe.
 */
public final class ServingConfiguration {
    private final long version;
    private final List<ServingRoute> routes;
    private final Map<String, List<ServingRoute>> routesByHost = new HashMap<>();
    private final List<ServingService> services;
    private final Map<String, ServingService> servicesByName = new HashMap<>();
    private final List<ServingWorkspace> workspaces;
    private final Map<String, ServingWorkspace> workspacesByKey = new HashMap<>();
    private final boolean keysRequired;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version the version that the operators assigned
     * @param routes the routes of all hosts
     * @param services the services that the routes refer to
     * @param workspaces the workspaces; if empty, callers need no keys
     * @param limits the limits on callers' requests
     */
    public ServingConfiguration(
            long version,
            List<ServingRoute> routes,
            List<ServingService> services,
            List<ServingWorkspace> workspaces,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.services = List.copyOf(services);
        this.workspaces = List.copyOf(workspaces);
        this.keysRequired = !workspaces.isEmpty();
        this.limits = limits;
        routes.forEach(route -> routesByHost
                .computeIfAbsent(route.host(), unused -> new ArrayList<>())
                .add(route));
        routesByHost.values().forEach(ServingConfiguration::sortLongestFirst);
        services.forEach(service -> servicesByName.put(service.name(), service));
        workspaces.forEach(workspace -> workspace.keys().forEach(key -> workspacesByKey.put(key, workspace)));
    }

    private static void sortLongestFirst(List<ServingRoute> routes) {
        routes.sort(Comparator.comparingInt(
                        (ServingRoute route) -> route.pathPrefix().length())
                .reversed());
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version that the operators assigned
     */
    public long version() {
        return version;
    }

    /**
     * Returns all routes.
     *
     * @return the routes in configured order
     */
    public List<ServingRoute> routes() {
        return routes;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the requested host in any case, with or without a port
     * @param path the requested path without its query
     * @return the route with the longest matching prefix, or empty
     */
    public Optional<ServingRoute> route(String host, String path) {
        int colon = host.lastIndexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        return routesByHost.getOrDefault(name, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds a service by its name.
     *
     * @param name the service's name
     * @return the service, or empty if it is not configured
     */
    public Optional<ServingService> service(String name) {
        return Optional.ofNullable(servicesByName.get(name));
    }

    /**
     * Returns all services.
     *
     * @return the services in configured order
     */
    public List<ServingService> services() {
        return services;
    }

    /**
     * Returns all workspaces.
     *
     * @return the workspaces in configured order
     */
    public List<ServingWorkspace> workspaces() {
        return workspaces;
    }

    /**
     * Tells whether routes that are not open require a key.
     *
     * @return true if at least one workspace is configured
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Finds the workspace of an API key.
     *
     * @param key the API key as sent by the caller
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<ServingWorkspace> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /**
     * Returns the limits on callers' connections and requests.
     *
     * @return the limits for all routes
     */
    public CallerLimits limits() {
        return limits;
    }
}
