package org.pimentovale.kernel.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;

/**
 * The routes that were in force lately, so that the services at which a stream may have begun are known after a
 * configuration moved its route.
 *
 * <p>Invariant: configurations with equal routes take one entry. Not thread safe; used on one event loop.
 */
public final class RouteHistory {
    private final List<Period> periods = new ArrayList<>();
    private boolean changed;

    private static final class Period {
        private final ServingConfiguration routes;
        private final long firstInForceMs;
        private long lastInForceMs;

        private Period(ServingConfiguration routes, long nowMs) {
            this.routes = routes;
            this.firstInForceMs = nowMs;
            this.lastInForceMs = nowMs;
        }
    }

    /**
     * Records the active configuration. To be called periodically and after each change.
     *
     * @param active the active configuration
     * @param nowMs the current time in milliseconds
     */
    public void observe(ServingConfiguration active, long nowMs) {
        periods.removeIf(period -> period.lastInForceMs + BuildHistory.RETENTION_MS < nowMs);
        if (!periods.isEmpty()) {
            Period latest = periods.get(periods.size() - 1);
            latest.lastInForceMs = nowMs;
            if (latest.routes.routes().equals(active.routes())) {
                return;
            }
            changed = true;
        }
        periods.add(new Period(routesOf(active), nowMs));
    }

    /** Copies the routes alone, since the workspaces of all remembered configurations would take much memory. */
    private static ServingConfiguration routesOf(ServingConfiguration full) {
        return new ServingConfiguration(full.version(), full.routes(), List.of(), List.of(), full.limits());
    }

    /**
     * Returns how long the routes in force have been the same.
     *
     * @param earlierMs the time before the first observation in which no route changed, in milliseconds
     * @param nowMs the current time in milliseconds
     * @return milliseconds, zero before the first observation
     */
    public long unchangedMs(long earlierMs, long nowMs) {
        if (periods.isEmpty()) {
            return 0;
        }
        long latestMs = nowMs - periods.get(periods.size() - 1).firstInForceMs;
        return changed ? latestMs : latestMs + earlierMs;
    }

    /**
     * Returns the longest time that a stream of a path may have lasted by now, under any route that it has had lately.
     *
     * @param host the requested host
     * @param path the requested path without its query
     * @param nowMs the current time in milliseconds
     * @return milliseconds, see {@link OriginLookup#windowMs(int)}; zero if the path has had no route
     */
    public long longestWindowMs(String host, String path, long nowMs) {
        long longestMs = 0;
        for (Period period : periods) {
            long windowMs = period.routes
                    .route(host, path)
                    .map(route -> OriginLookup.windowMs(route.timeoutMs()))
                    .orElse(0L);
            if (period.lastInForceMs + windowMs >= nowMs) {
                longestMs = Math.max(longestMs, windowMs);
            }
        }
        return longestMs;
    }

    /**
     * Returns the routes that a path has had lately.
     *
     * @param host the requested host
     * @param path the requested path without its query
     * @param sinceMs the time in milliseconds since which a route was in force, at most
     *     {@link BuildHistory#RETENTION_MS} ago
     * @return the routes, the latest last
     */
    public List<ServingRoute> recentRoutes(String host, String path, long sinceMs) {
        return periods.stream()
                .filter(period -> period.lastInForceMs >= sinceMs)
                .map(period -> period.routes.route(host, path))
                .flatMap(Optional::stream)
                .toList();
    }
}
