package org.pimentovale.tool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.kernel.serving.CallerLimits;
import org.pimentovale.kernel.serving.PieceLimits;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.serving.WeightedService;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Route;
import org.pimentovale.table.Stage;
import org.pimentovale.table.Tables;

/**
 * Presents the tables of the entry daemon as a serving configuration, so that one check serves both forms.
 *
 * <p>A pool becomes a service that takes one piece per call; the last stage of a route becomes its final service, the
 * others a chain of stages. Stateless and thread safe.
 */
final class TablesAdapter {
    private static final int REQUEST_ATTEMPTS = 1;

    private TablesAdapter() {}

    static ServingConfiguration configuration(Tables tables, long revision) {
        List<ServingRoute> routes =
                tables.routes().stream().map(TablesAdapter::route).toList();
        List<ServingService> services =
                tables.pools().stream().map(TablesAdapter::service).toList();
        // The daemon's limits are in its settings, not in the tables.
        return new ServingConfiguration(
                revision, routes, services, List.of(), new CallerLimits(Long.MAX_VALUE, Integer.MAX_VALUE));
    }

    static Map<String, Integer> endpointCounts(Tables tables) {
        Map<String, Integer> counts = new HashMap<>();
        tables.pools().forEach(pool -> counts.put(pool.name(), pool.endpoints().size()));
        return counts;
    }

    private static ServingRoute route(Route route) {
        List<Stage> before =
                route.stages().subList(0, Math.max(0, route.stages().size() - 1));
        List<RouteStage> stages = new ArrayList<>();
        for (Stage stage : before) {
            List<Integer> after = stages.isEmpty() ? List.of() : List.of(stages.size() - 1);
            stages.add(new RouteStage(stages.size(), stage.pool(), after, 0));
        }
        List<WeightedService> last = route.stages().stream()
                .skip(before.size())
                .map(stage -> new WeightedService(stage.pool(), 1))
                .toList();
        boolean idempotent = route.nonIdempotentStage().isEmpty();
        return new ServingRoute(
                route.kind(),
                "",
                route.kind(),
                idempotent ? RequestKind.IDEMPOTENT : RequestKind.NON_IDEMPOTENT,
                route.deadlineMs(),
                route.deadlineMs(),
                route.urgency().ordinal(),
                last,
                REQUEST_ATTEMPTS,
                stages,
                true,
                false);
    }

    private static ServingService service(Pool pool) {
        PieceLimits limits = new PieceLimits(pool.limit(), 1, pool.expectedMs(), 0, 0, 0);
        return new ServingService(pool.name(), 0, Optional.of(limits));
    }
}
