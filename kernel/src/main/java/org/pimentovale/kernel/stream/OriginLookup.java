package org.pimentovale.kernel.stream;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Determines where a stream began from the answers of several gateways.
 *
 * <p>Without a recorded origin, a build is assumed only if no stream of the service can have begun at another one
 * within the time that a stream lasts. Two kinds of evidence show that, see {@link Basis}. Time alone shows nothing: a
 * gateway that is cut off from the store, or was suspended, keeps an old list of endpoints. Neither is a build assumed
 * if an answer names another service to which the stream's path led within that time.
 *
 * <p>A recorded origin may be that of an earlier dispatch if its gateway missed the record of the retry. Of all
 * {@link #FIRST_PEERS} that are told of a retry one must have answered, so the latest record counts only if the gateway
 * that relayed the stream answered, two gateways have it, or half of those asked answered. Not thread safe.
 */
public final class OriginLookup {
    /** The number of peers that are asked for a record and told of a retry. */
    public static final int FIRST_PEERS = 8;

    private static final long MIN_WINDOW_MS = 10_000;
    private static final int ROUTE_TIMEOUTS_PER_STREAM = 2;

    private final String service;
    private final long windowMs;
    private final int gateways;
    private final Map<String, Answer> answers = new HashMap<>();

    /** What a decision is based on. */
    public enum Basis {
        /** The latest origin that gateways recorded when the stream began. */
        RECORDED,
        /**
         * A gateway asked the store after the stream was to be taken up, and knows all changes of the endpoints and of
         * the configuration over the time that a stream lasts.
         */
        CONFIRMED_ENDPOINTS,
        /**
         * Every gateway answered and has run for longer than a stream lasts. A gateway sends streams only to endpoints
         * that it has listed and under routes that were in force there, however old its lists are.
         */
        ALL_GATEWAYS,
        /** The answers do not exclude that the stream began at another build. */
        INSUFFICIENT
    }

    /**
     * What one gateway knows of a stream.
     *
     * @param origin the recorded origin, empty if it is not known there
     * @param recentBuilds the builds of the service that were listed there within the time that a stream lasts
     * @param observedMs how long that gateway has remembered the endpoints that it listed, in milliseconds
     * @param confirmedMs how long all changes of the endpoints and the configuration are known there without a gap, up
     *     to responses of the store to requests sent after the question, in milliseconds; empty if the store did not
     *     respond, was not asked, or the gateway is of a build that does not tell
     * @param relayed whether that gateway relayed the beginning of the stream, so that it knows all dispatches; empty
     *     if the gateway is of a build that does not tell
     * @param windowMs the longest time that a stream lasts by the routes known there, in milliseconds; empty if the
     *     gateway is of a build that does not tell
     * @param recentServices the services to which the stream's path led there within the time that a stream lasts;
     *     empty if the gateway is of a build that does not tell
     */
    public record Answer(
            Optional<StreamOrigin> origin,
            List<String> recentBuilds,
            long observedMs,
            Optional<Long> confirmedMs,
            Optional<Boolean> relayed,
            Optional<Long> windowMs,
            Optional<List<String>> recentServices) {
        /** Copies the lists. */
        public Answer {
            recentBuilds = List.copyOf(recentBuilds);
            recentServices = recentServices.map(List::copyOf);
        }
    }

    /**
     * Where a stream began, and why.
     *
     * @param origin the origin, empty if it is unknown
     * @param basis the evidence
     * @param gateways the number of known gateways
     * @param answers the number of gateways that answered
     * @param confirmedMs the longest confirmed time of all answers, in milliseconds, -1 if none is confirmed
     * @param windowMs the longest time that the stream may have lasted, in milliseconds
     */
    public record Decision(
            Optional<StreamOrigin> origin, Basis basis, int gateways, int answers, long confirmedMs, long windowMs) {}

    /**
     * Creates a lookup without answers.
     *
     * @param service the service that runs the stream if no origin is recorded
     * @param windowMs the longest time that a stream lasts, see {@link #windowMs(int)}
     * @param gateways the number of all known gateways, responsive or not
     */
    public OriginLookup(String service, long windowMs, int gateways) {
        this.service = service;
        this.windowMs = windowMs;
        this.gateways = gateways;
    }

    /**
     * Returns the longest time between the beginning of a stream and the attempt that takes it up.
     *
     * @param routeTimeoutMs the timeout of the stream's route, in milliseconds
     * @return milliseconds, more than the timeout since a caller may wait longer than the operator wants
     */
    public static long windowMs(int routeTimeoutMs) {
        return Math.max(MIN_WINDOW_MS, (long) ROUTE_TIMEOUTS_PER_STREAM * routeTimeoutMs);
    }

    /**
     * Returns the longest time that the stream may have lasted, which an answer can prolong.
     *
     * @return milliseconds
     */
    public long windowMs() {
        return answers.values().stream()
                .flatMap(answer -> answer.windowMs().stream())
                .reduce(windowMs, Math::max);
    }

    /**
     * Adds the answer of a gateway, which replaces its earlier one.
     *
     * @param gateway the gateway's name
     * @param answer the answer
     */
    public void add(String gateway, Answer answer) {
        answers.put(gateway, answer);
    }

    /**
     * Tells whether further answers are not needed.
     *
     * @return whether the gateway that relayed the stream answered, or one has confirmed which builds served
     */
    public boolean decided() {
        return isRelayerKnown() || confirmed().isPresent();
    }

    /**
     * Decides where the stream began.
     *
     * @return the decision on the answers so far
     */
    public Decision decision() {
        if (recorded().isPresent()) {
            return decision(recorded(), Basis.RECORDED);
        }
        if (confirmed().isPresent()) {
            return decision(only(confirmed().get().recentBuilds()), Basis.CONFIRMED_ENDPOINTS);
        }
        return haveAllAnswered()
                ? decision(only(allRecentBuilds()), Basis.ALL_GATEWAYS)
                : decision(Optional.empty(), Basis.INSUFFICIENT);
    }

    private Decision decision(Optional<StreamOrigin> origin, Basis basis) {
        long confirmedMs = answers.values().stream()
                .flatMap(answer -> answer.confirmedMs().stream())
                .max(Comparator.naturalOrder())
                .orElse(-1L);
        return new Decision(origin, basis, gateways, answers.size(), confirmedMs, windowMs());
    }

    /**
     * Returns the recorded origin once all gateways that were asked for a record have answered or failed.
     *
     * @return the origin, empty if none is recorded or a later one may be recorded elsewhere
     */
    public Optional<StreamOrigin> recorded() {
        return answers.values().stream()
                .flatMap(answer -> answer.origin().stream())
                .reduce(StreamOrigin::laterOf)
                .filter(latest -> isRelayerKnown() || holders(latest) > 1 || hasHalfAnswered());
    }

    private boolean isRelayerKnown() {
        return answers.values().stream()
                .anyMatch(answer ->
                        answer.origin().isPresent() && answer.relayed().orElse(false));
    }

    private long holders(StreamOrigin origin) {
        return answers.values().stream()
                .filter(answer -> answer.origin().equals(Optional.of(origin)))
                .count();
    }

    private boolean hasHalfAnswered() {
        return 2 * answers.size() >= Math.min(gateways, FIRST_PEERS + 1);
    }

    /** Returns an answer that alone shows all builds at which the stream may have begun. */
    private Optional<Answer> confirmed() {
        return answers.values().stream()
                .filter(answer -> isRemembered() && tellsOfWholeWindow(answer))
                .filter(answer -> answer.confirmedMs().orElse(-1L) >= windowMs())
                .findAny();
    }

    private boolean tellsOfWholeWindow(Answer answer) {
        return answer.recentServices().isPresent() && answer.windowMs().orElse(-1L) >= windowMs();
    }

    /** Tells whether gateways remember builds and routes for as long as the stream may have lasted. */
    private boolean isRemembered() {
        return windowMs() <= BuildHistory.RETENTION_MS;
    }

    private boolean haveAllAnswered() {
        return isRemembered()
                && answers.size() >= gateways
                && answers.values().stream().allMatch(this::tellsOfWholeWindow)
                && answers.values().stream().allMatch(answer -> answer.observedMs() >= windowMs());
    }

    private Set<String> allRecentBuilds() {
        Set<String> builds = new HashSet<>();
        answers.values().forEach(answer -> builds.addAll(answer.recentBuilds()));
        return builds;
    }

    private Set<String> allRecentServices() {
        return answers.values().stream()
                .flatMap(answer -> answer.recentServices().stream())
                .flatMap(List::stream)
                .collect(Collectors.toSet());
    }

    private Optional<StreamOrigin> only(Collection<String> builds) {
        return builds.size() == 1 && allRecentServices().equals(Set.of(service))
                ? Optional.of(new StreamOrigin(service, builds.iterator().next(), 0))
                : Optional.empty();
    }
}
