package org.pimentovale.kernel.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A route: which requests it matches and how they are served.
 *
 * @param name the route's name
 * @param host the requested host, in lower case without a port
 * @param pathPrefix the prefix of the matching paths
 * @param kind the kind of the requests, which determines whether they may be retried
 * @param timeoutMs the maximum time until a request ends, in milliseconds
 * @param goalMs the target time for a response, in milliseconds
 * @param priority the priority of its requests, zero for the most urgent
 * @param services the final services among which requests are split, with their weights
 * @param maximumEndpoints the maximum number of endpoints that one attempt of the caller may be sent to
 * @param stages the stages that run before the final service
 * @param open whether callers may omit the API key
 * @param resumable whether streams can be resumed at another endpoint
 */
public record ServingRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        int timeoutMs,
        int goalMs,
        int priority,
        List<WeightedService> services,
        int maximumEndpoints,
        List<RouteStage> stages,
        boolean open,
        boolean resumable) {
    /** Creates a route with copies of the lists. */
    public ServingRoute {
        services = List.copyOf(services);
        stages = List.copyOf(stages);
    }

    /**
     * Tells whether a request that may already have run may be retried.
     *
     * @return true if a further run is allowed
     */
    public boolean allowsRetry() {
        return kind.allowsRetry(resumable);
    }

    /**
     * Chooses the final service of a request by weight. Equal keys get the same service.
     *
     * @param key an evenly distributed key, such as a hash of the request's identifier
     * @return the name of the service, or empty if the route has none
     */
    public Optional<String> serviceFor(long key) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double point = (key >>> 1) / (double) Long.MAX_VALUE * total;
        Optional<String> chosen = Optional.empty();
        for (WeightedService service : services) {
            if (service.weight() <= 0 && total > 0) {
                continue;
            }
            chosen = Optional.of(service.service());
            point -= service.weight();
            if (point < 0) {
                break;
            }
        }
        return chosen;
    }

    /**
     * Returns the services at which requests of this route may run.
     *
     * @return the names of the services with a weight above zero, or of all if there is none
     */
    public List<String> targets() {
        return services.stream()
                .map(WeightedService::service)
                .filter(this::leadsTo)
                .toList();
    }

    /**
     * Tells whether requests of this route may run at a service.
     *
     * @param name the service's name
     * @return whether the route names the service with a weight above zero, or without any weights
     */
    public boolean leadsTo(String name) {
        boolean weighted = services.stream().anyMatch(service -> service.weight() > 0);
        return services.stream()
                .filter(service -> service.weight() > 0 || !weighted)
                .anyMatch(service -> service.service().equals(name));
    }

    /**
     * Returns the stages whose results are the inputs of the final service.
     *
     * @return the numbers of the stages without successors
     */
    public Set<Integer> lastStages() {
        Set<Integer> last = new HashSet<>();
        stages.forEach(stage -> last.add(stage.number()));
        stages.forEach(stage -> last.removeAll(stage.after()));
        return last;
    }
}
