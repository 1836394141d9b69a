package org.pimentovale.kernel.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * How one kind of request is served.
 *
 * @param name the route's name
 * @param host the host that callers name, in lower case
 * @param pathPrefix the beginning of the paths that it serves
 * @param kind what may be repeated
 * @param timeoutMs the longest time that a request is kept waiting for its end
 * @param goalMs the time within which an answer is of full use
 * @param priority its rank, zero for the most urgent
 * @param services the services that run the request, with their shares
 * @param maximumEndpoints how many endpoints one attempt may be sent to
 * @param stages the work before it
 * @param open whether callers need no key
 * @param resumable whether its streams may be resumed at another endpoint
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
    /** Copies the lists. */
    public ServingRoute {
        services = List.copyOf(services);
        stages = List.copyOf(stages);
    }

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @return whether it may
     */
    public boolean allowsRetry() {
        return kind.allowsRetry(resumable);
    }

    /**
     * Chooses the service for a request, so that each service gets its share and equal keys get the same service.
     *
     * @param key a key that is spread evenly, such as a hash of the request's identifier
     * @return the service, or empty where the route names none
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
     * Returns the stages whose results the request itself needs.
     *
     * @return the numbers of the stages that no other stage follows
     */
    public Set<Integer> lastStages() {
        Set<Integer> last = new HashSet<>();
        stages.forEach(stage -> last.add(stage.number()));
        stages.forEach(stage -> last.removeAll(stage.after()));
        return last;
    }
}
