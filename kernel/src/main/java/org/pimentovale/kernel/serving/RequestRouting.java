package org.pimentovale.kernel.serving;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/** Finds the route and the workspace of a request. Stateless and thread safe. */
public final class RequestRouting {
    private RequestRouting() {}

    /**
     * A request that the configuration allows.
     *
     * @param route the route
     * @param service the service that runs it
     * @param workspace the caller's workspace, empty where the route is open to all
     */
    public record RoutedRequest(ServingRoute route, ServingService service, Optional<ServingWorkspace> workspace) {
        /**
         * Returns the request's rank.
         *
         * @return the workspace's rank where it has one, else the route's
         */
        public int priority() {
            return workspace
                    .filter(found -> found.priority().isPresent())
                    .map(found -> found.priority().getAsInt())
                    .orElse(route.priority());
        }
    }

    /**
     * Finds what serves a request.
     *
     * @param configuration the configuration in force
     * @param host the host that the caller named
     * @param path the path without its query
     * @param key the caller's key
     * @param splitKey decides among the services of a split route
     * @return the route, its service and the workspace
     * @throws ServingException with {@link ErrorCode#KIND_UNKNOWN}, {@link ErrorCode#UNAUTHORISED} or {@link
     *     ErrorCode#NOT_CONFIGURED}
     */
    public static RoutedRequest route(
            ServingConfiguration configuration, String host, String path, Optional<String> key, long splitKey) {
        ServingRoute route = configuration
                .route(host, path)
                .orElseThrow(() -> ServingException.notRun(ErrorCode.KIND_UNKNOWN, host + path));
        Optional<ServingWorkspace> workspace = key.flatMap(configuration::workspace);
        if (configuration.keysRequired() && !route.open() && workspace.isEmpty()) {
            throw ServingException.notRun(ErrorCode.UNAUTHORISED, key.isPresent() ? "unknown key" : "no key");
        }
        ServingService service = route.serviceFor(splitKey)
                .flatMap(configuration::service)
                .orElseThrow(() -> ServingException.notRun(ErrorCode.NOT_CONFIGURED, "no service of " + route.name()));
        return new RoutedRequest(route, service, workspace);
    }
}
