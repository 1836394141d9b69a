package org.pimentovale.kernel.serving;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/** Selects the route, service and workspace of a request. Stateless and thread safe. */
public final class RequestRouting {
    private RequestRouting() {}

    /**
     * The routing of an accepted request.
     *
     * @param route the route that matches host and path
     * @param service the service that runs the request
     * @param workspace the caller's workspace, empty if the caller sent no known key
     */
    public record RoutedRequest(ServingRoute route, ServingService service, Optional<ServingWorkspace> workspace) {
        /**
         * Returns the request's priority.
         *
         * @return the workspace's priority if it has one, else the route's; zero is the most urgent
         */
        public int priority() {
            return workspace
                    .filter(found -> found.priority().isPresent())
                    .map(found -> found.priority().getAsInt())
                    .orElse(route.priority());
        }
    }

    /**
     * Routes a request.
     *
     * @param configuration the current configuration
     * @param host the requested host, with or without a port
     * @param path the requested path without its query
     * @param key the caller's API key, if any
     * @param splitKey selects among the services of a route that is split by weight; has to be evenly distributed
     * @return the route, its service and the workspace
     * @throws ServingException with {@link ErrorCode#KIND_UNKNOWN} if no route matches, {@link ErrorCode#UNAUTHORISED}
     *     if the route requires a known key, or {@link ErrorCode#NOT_CONFIGURED} if the route's service is missing
     */
    public static RoutedRequest route(
            ServingConfiguration configuration, String host, String path, Optional<String> key, long splitKey) {
        ServingRoute route = configuration
                .route(host, path)
                .orElseThrow(() -> ServingException.notRun(ErrorCode.KIND_UNKNOWN, host + path));
        Optional<ServingWorkspace> workspace = key.flatMap(configuration::workspace);
        if (configuration.keysRequired() && !route.open() && workspace.isEmpty()) {
            throw ServingException.notRun(
                    ErrorCode.UNAUTHORISED, key.isPresent() ? "unknown API key" : "API key missing");
        }
        ServingService service = route.serviceFor(splitKey)
                .flatMap(configuration::service)
                .orElseThrow(() -> ServingException.notRun(
                        ErrorCode.NOT_CONFIGURED, "no configured service for route " + route.name()));
        return new RoutedRequest(route, service, workspace);
    }
}
