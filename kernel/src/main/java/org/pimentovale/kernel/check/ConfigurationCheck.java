package org.pimentovale.kernel.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.kernel.serving.PieceLimits;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.serving.ServingWorkspace;
import org.pimentovale.kernel.serving.WeightedService;

/**
 * Finds entries of a valid configuration that are in error, can never match, or contradict each other.
 *
 * <p>Not thread safe; an instance checks one configuration.
 */
public final class ConfigurationCheck {
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final ServingConfiguration configuration;
    private final Map<String, Integer> endpointCounts;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    /**
     * Creates a check.
     *
     * @param configuration the configuration to check
     * @param endpointCounts the number of endpoints by service, empty if they are not known
     */
    public ConfigurationCheck(ServingConfiguration configuration, Map<String, Integer> endpointCounts) {
        this.configuration = configuration;
        this.endpointCounts = Map.copyOf(endpointCounts);
    }

    /**
     * Checks the configuration.
     *
     * @return the findings, in the order of the entries
     */
    public List<ConfigurationFinding> findings() {
        findings.clear();
        checkLimits();
        checkRoutes();
        checkServices();
        checkWorkspaces();
        return List.copyOf(findings);
    }

    private void add(FindingKind kind, String place, String message) {
        findings.add(new ConfigurationFinding(kind, place, message));
    }

    private void checkLimits() {
        if (configuration.limits().maximumBodyBytes() == 0) {
            add(FindingKind.CONTRADICTION, "limits", "no request with a body is accepted, its maximum is 0 bytes");
        }
        if (configuration.limits().idleTimeoutMs() == 0) {
            add(FindingKind.CONTRADICTION, "limits", "connections are closed at once, the idle timeout is 0 ms");
        }
    }

    private void checkRoutes() {
        Map<String, String> namesByMatch = new HashMap<>();
        for (ServingRoute route : configuration.routes()) {
            String match = route.host() + route.pathPrefix();
            String place = placeOf(route);
            Optional<String> earlier = Optional.ofNullable(namesByMatch.putIfAbsent(match, route.name()));
            earlier.ifPresent(name ->
                    add(FindingKind.UNREACHABLE, place, "route " + name + " matches all its requests, " + match));
            checkServices(route, place);
            checkTimes(route, place);
            checkAttempts(route, place);
        }
    }

    /** Returns the name of a route's findings. */
    static String placeOf(ServingRoute route) {
        return "route " + route.name();
    }

    private void checkServices(ServingRoute route, String place) {
        for (WeightedService target : route.services()) {
            if (!route.leadsTo(target.service())) {
                add(FindingKind.UNREACHABLE, place, "service " + target.service() + " has the weight 0");
            }
            requireService(target.service(), place);
        }
        for (RouteStage stage : route.stages()) {
            requireService(stage.service(), place + " stage " + stage.number());
            checkStage(stage, place + " stage " + stage.number());
        }
    }

    private void requireService(String name, String place) {
        if (configuration.service(name).isEmpty()) {
            add(FindingKind.ERROR, place, "service " + name + " is not configured");
        } else if (!endpointCounts.isEmpty() && endpointCounts.getOrDefault(name, 0) == 0) {
            add(FindingKind.ERROR, place, "service " + name + " has no endpoint");
        }
    }

    private void checkStage(RouteStage stage, String place) {
        Optional<ServingService> service = configuration.service(stage.service());
        Optional<PieceLimits> pieces = service.flatMap(ServingService::pieces);
        if (service.isPresent() && pieces.isEmpty()) {
            add(FindingKind.ERROR, place, "service " + stage.service() + " does not work on pieces");
        }
        pieces.filter(limits -> stage.resultBytes() > limits.resultMegabytes() * BYTES_PER_MEGABYTE)
                .ifPresent(limits -> add(
                        FindingKind.CONTRADICTION,
                        place,
                        "a result of " + stage.resultBytes() + " bytes exceeds the storage of an endpoint of service "
                                + stage.service() + ", " + limits.resultMegabytes() + " MB"));
    }

    private void checkTimes(ServingRoute route, String place) {
        if (route.timeoutMs() == 0) {
            add(FindingKind.CONTRADICTION, place, "every request times out at once, the timeout is 0 ms");
            return;
        }
        if (route.goalMs() > route.timeoutMs()) {
            add(
                    FindingKind.CONTRADICTION,
                    place,
                    "the goal of " + route.goalMs() + " ms exceeds the timeout of " + route.timeoutMs() + " ms");
        }
        double chainMs = longestChainMs(route);
        if (chainMs >= route.timeoutMs()) {
            add(
                    FindingKind.CONTRADICTION,
                    place,
                    "its stages take " + Math.round(chainMs) + " ms, the timeout is " + route.timeoutMs() + " ms");
        } else if (chainMs >= route.goalMs()) {
            add(
                    FindingKind.CONTRADICTION,
                    place,
                    "its stages take " + Math.round(chainMs) + " ms, the goal is " + route.goalMs() + " ms");
        }
    }

    /** Returns the duration of calls with one piece along the longest chain of stages, in milliseconds. */
    private double longestChainMs(ServingRoute route) {
        Map<Integer, Double> endsMs = new HashMap<>();
        // As many rounds as there are stages settle all ends, since the stages have no cycle.
        for (int round = 0; round < route.stages().size(); round++) {
            for (RouteStage stage : route.stages()) {
                double startMs = stage.after().stream()
                        .mapToDouble(input -> endsMs.getOrDefault(input, 0.0))
                        .max()
                        .orElse(0);
                endsMs.put(stage.number(), startMs + callMs(stage));
            }
        }
        return endsMs.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    private double callMs(RouteStage stage) {
        return configuration
                .service(stage.service())
                .flatMap(ServingService::pieces)
                .map(limits -> limits.durationMs(1))
                .orElse(0.0);
    }

    private void checkAttempts(ServingRoute route, String place) {
        if (route.maximumEndpoints() == 0) {
            add(FindingKind.CONTRADICTION, place, "no endpoint may run a request, the attempts are 0");
        }
        for (String service : route.targets()) {
            int endpoints = endpointCounts.getOrDefault(service, 0);
            if (endpoints > 0 && route.maximumEndpoints() > endpoints) {
                add(
                        FindingKind.CONTRADICTION,
                        place,
                        route.maximumEndpoints() + " attempts exceed the " + endpoints + " endpoints of service "
                                + service);
            }
        }
    }

    private void checkServices() {
        Set<String> used = new HashSet<>();
        configuration.routes().forEach(route -> {
            used.addAll(route.targets());
            route.stages().forEach(stage -> used.add(stage.service()));
        });
        Set<String> names = new HashSet<>();
        for (ServingService service : configuration.services()) {
            String place = "service " + service.name();
            if (!names.add(service.name())) {
                add(FindingKind.ERROR, place, "is configured twice");
            }
            if (!used.contains(service.name())) {
                add(FindingKind.UNREACHABLE, place, "no route and no stage leads to it");
            }
        }
    }

    private void checkWorkspaces() {
        Map<String, String> holders = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (ServingWorkspace workspace : configuration.workspaces()) {
            String place = "workspace " + workspace.name();
            if (!names.add(workspace.name())) {
                add(FindingKind.ERROR, place, "is configured twice");
            }
            if (workspace.keys().isEmpty()) {
                add(FindingKind.UNREACHABLE, place, "has no key");
            }
            for (String key : workspace.keys()) {
                String holder = holders.putIfAbsent(key, workspace.name());
                if (holder != null && !holder.equals(workspace.name())) {
                    add(FindingKind.ERROR, place, "shares a key with workspace " + holder);
                }
            }
        }
    }
}
