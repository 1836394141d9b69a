package org.pimentovale.kernel.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pimentovale.kernel.serving.PieceLimits;

/**
 * The order of the tickets of a queue with a backlog: weighted fair queueing over workspaces by estimated endpoint
 * time, with a guaranteed minimum for each route and each workspace.
 *
 * <p>Start-time fair queueing: a ticket's cost delays the following tickets of its workspace, not the ticket itself, so
 * large requests do not starve. Within a workspace, and between workspaces that were served equally, tickets keep the
 * order they are given in. Invariant: a workspace without waiting tickets gets no credit for later endpoint time. Not
 * thread safe.
 */
final class FairShares {
    /**
     * A workspace that is ahead of the others by at most this many full calls keeps its place by urgency. A smaller
     * tolerance delays urgent small requests in bursts.
     */
    private static final double TOLERATED_CALLS = 16;

    private static final double CHARGE_PER_PRIORITY_STEP = 0.25;
    private static final int MAX_PRIORITY_STEPS = 4;
    private static final double BYTES_PER_MEGABYTE = 1_000_000;

    private State state = new State();

    private record FlowKey(String workspace, String route) {
        private static FlowKey of(StageTicket ticket) {
            return new FlowKey(
                    ticket.work().workspace().orElse(""), ticket.work().route().orElse(""));
        }
    }

    /** The next ticket of one workspace and route, with what decides between flows. */
    private record Head(Flow flow, boolean routeGuaranteed, boolean workspaceGuaranteed, double aheadMs, int rank) {
        private static final Comparator<Head> ORDER = Comparator.comparing((Head head) -> !head.routeGuaranteed)
                .thenComparing(head -> !head.workspaceGuaranteed)
                .thenComparingDouble(Head::aheadMs)
                .thenComparingInt(Head::rank);
    }

    /** The waiting tickets of one workspace and route. */
    private static final class Flow {
        private final FlowKey key;
        private final List<StageTicket> tickets = new ArrayList<>();
        private final List<Integer> ranks = new ArrayList<>();
        private int served;

        private Flow(FlowKey key) {
            this.key = key;
        }

        private void add(StageTicket ticket, int rank) {
            tickets.add(ticket);
            ranks.add(rank);
        }

        private boolean hasNext() {
            return served < tickets.size();
        }

        private Head head(State state, double fairMs) {
            return new Head(
                    this,
                    state.routes.covers(key.route()),
                    state.workspaces.covers(key.workspace()),
                    Math.max(0, state.startTime(key.workspace()) - fairMs),
                    ranks.get(served));
        }

        private StageTicket poll() {
            return tickets.get(served++);
        }
    }

    /**
     * Returns tickets in the order in which they are to be served.
     *
     * @param waiting the waiting tickets, the most urgent first
     * @param limits the limits of one endpoint of the service
     * @return the same tickets
     */
    List<StageTicket> order(List<StageTicket> waiting, PieceLimits limits) {
        List<Flow> flows = flows(waiting);
        if (flows.size() < 2) {
            return waiting;
        }
        State simulated = state.copy();
        simulated.observe(waiting, limits);
        List<StageTicket> ordered = new ArrayList<>(waiting.size());
        while (ordered.size() < waiting.size()) {
            StageTicket next = next(flows, simulated, limits).poll();
            simulated.serve(next, cost(next, next.waitingPieces(), limits));
            ordered.add(next);
        }
        return ordered;
    }

    private static Flow next(List<Flow> flows, State state, PieceLimits limits) {
        double leastMs = flows.stream()
                .filter(Flow::hasNext)
                .mapToDouble(flow -> state.startTime(flow.key.workspace()))
                .min()
                .orElseThrow();
        double fairMs = leastMs + TOLERATED_CALLS * limits.durationMs(limits.maximumPiecesPerCall());
        return flows.stream()
                .filter(Flow::hasNext)
                .map(flow -> flow.head(state, fairMs))
                .min(Head.ORDER)
                .orElseThrow()
                .flow();
    }

    private static List<Flow> flows(List<StageTicket> waiting) {
        Map<FlowKey, Flow> flows = new LinkedHashMap<>();
        for (int rank = 0; rank < waiting.size(); rank++) {
            StageTicket ticket = waiting.get(rank);
            flows.computeIfAbsent(FlowKey.of(ticket), Flow::new).add(ticket, rank);
        }
        return List.copyOf(flows.values());
    }

    /**
     * Records what waits before a call is composed.
     *
     * @param waiting the waiting tickets
     * @param limits the limits of one endpoint of the service
     */
    void observe(List<StageTicket> waiting, PieceLimits limits) {
        state.observe(waiting, limits);
    }

    /**
     * Records pieces that a call takes.
     *
     * @param ticket the ticket of the pieces
     * @param pieces the number of pieces
     * @param limits the limits of one endpoint of the service
     */
    void charge(StageTicket ticket, int pieces, PieceLimits limits) {
        state.serve(ticket, cost(ticket, pieces, limits));
    }

    /** Forgets what each workspace was served, since nothing waits that could be treated unfairly. */
    void reset() {
        state = new State();
    }

    /** Returns the endpoint time of pieces: a call is full if either its places or the result storage is. */
    private static double cost(StageTicket ticket, int pieces, PieceLimits limits) {
        double placeShare = 1.0 / limits.maximumPiecesPerCall();
        double storageBytes = Math.max(1, limits.resultMegabytes() * BYTES_PER_MEGABYTE);
        double storageShare = Math.min(1, ticket.work().resultBytes() / storageBytes);
        return pieces * Math.max(placeShare, storageShare) * limits.durationMs(limits.maximumPiecesPerCall());
    }

    /** What each workspace was served, and what the guarantees have saved up. Copied to simulate an order. */
    private static final class State {
        private final Map<String, Double> finishTimes = new HashMap<>();
        private final GuaranteedShares routes = new GuaranteedShares();
        private final GuaranteedShares workspaces = new GuaranteedShares();
        private double virtualTime;

        private State copy() {
            State copy = new State();
            copy.finishTimes.putAll(finishTimes);
            copy.routes.copyFrom(routes);
            copy.workspaces.copyFrom(workspaces);
            copy.virtualTime = virtualTime;
            return copy;
        }

        private void observe(List<StageTicket> waiting, PieceLimits limits) {
            Map<String, Double> byRoute = new HashMap<>();
            Map<String, Double> byWorkspace = new HashMap<>();
            for (StageTicket ticket : waiting) {
                FlowKey key = FlowKey.of(ticket);
                double cost = cost(ticket, ticket.waitingPieces(), limits);
                byRoute.merge(key.route(), cost, Double::sum);
                byWorkspace.merge(key.workspace(), cost, Double::sum);
            }
            routes.observe(byRoute);
            workspaces.observe(byWorkspace);
            virtualTime = byWorkspace.keySet().stream()
                    .mapToDouble(this::startTime)
                    .min()
                    .orElse(virtualTime);
            finishTimes.values().removeIf(finish -> finish <= virtualTime);
        }

        private double startTime(String workspace) {
            return Math.max(virtualTime, finishTimes.getOrDefault(workspace, 0.0));
        }

        private void serve(StageTicket ticket, double cost) {
            FlowKey key = FlowKey.of(ticket);
            int steps = Math.min(MAX_PRIORITY_STEPS, ticket.work().priority());
            double charge = cost * (1 + steps * CHARGE_PER_PRIORITY_STEP);
            finishTimes.put(key.workspace(), startTime(key.workspace()) + charge);
            routes.serve(key.route(), cost);
            workspaces.serve(key.workspace(), cost);
        }
    }
}
