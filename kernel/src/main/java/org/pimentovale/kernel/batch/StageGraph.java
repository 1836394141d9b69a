package org.pimentovale.kernel.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingRoute;

/**
 * The dependency graph of one request's stages. It determines which stages may start, the inputs of each stage, and
 * which results are no longer needed.
 *
 * <p>Invariant: a stage starts once, after all its predecessors have finished. A stage without pieces counts as
 * finished from the start. Not thread safe.
 */
public final class StageGraph {
    private final ServingRoute route;
    private final Map<Integer, RouteStage> stages = new HashMap<>();
    private final Map<Integer, Integer> pieceCountByStage = new HashMap<>();
    private final Map<Integer, List<String>> results = new HashMap<>();
    private final Set<Integer> started = new HashSet<>();
    private final Set<Integer> released = new HashSet<>();

    /**
     * Creates the graph of a request.
     *
     * @param route the request's route
     * @param pieceCounts the number of pieces by stage number; stages beyond the end of the list have one piece
     */
    public StageGraph(ServingRoute route, List<Integer> pieceCounts) {
        this.route = route;
        for (RouteStage stage : route.stages()) {
            int count = stage.number() < pieceCounts.size() ? pieceCounts.get(stage.number()) : 1;
            stages.put(stage.number(), stage);
            pieceCountByStage.put(stage.number(), count);
            if (count == 0) {
                started.add(stage.number());
                results.put(stage.number(), List.of());
            }
        }
    }

    /**
     * Marks all stages as started whose predecessors have finished, and returns them.
     *
     * @return the stages that were not started before, in the order of the route
     */
    public List<RouteStage> startReady() {
        List<RouteStage> ready = new ArrayList<>();
        for (RouteStage stage : route.stages()) {
            if (!started.contains(stage.number()) && results.keySet().containsAll(stage.after())) {
                started.add(stage.number());
                ready.add(stage);
            }
        }
        return ready;
    }

    /**
     * Returns the number of pieces of a stage.
     *
     * @param stage a stage of the request's route
     * @return the number, zero if the request skips the stage
     */
    public int pieceCount(RouteStage stage) {
        return pieceCountByStage.get(stage.number());
    }

    /**
     * Returns the inputs of a stage. Every piece of the stage gets all of them.
     *
     * @param stage a stage that may start
     * @return the result handles of all pieces of its predecessors, in order
     */
    public List<String> inputs(RouteStage stage) {
        return collectResults(stage.after());
    }

    /**
     * Returns how many bytes cross zones if a stage runs in another zone than its inputs, or, for a stage without
     * inputs, in another zone than the request.
     *
     * @param stage a stage of the request's route
     * @return the approximate size of the inputs of all its pieces, or of its own results if it has no inputs
     */
    public long localBytes(RouteStage stage) {
        if (stage.after().isEmpty()) {
            return resultBytes(stage);
        }
        long inputBytes = stage.after().stream()
                .mapToLong(number -> resultBytes(stages.get(number)))
                .sum();
        return pieceCount(stage) * inputBytes;
    }

    private long resultBytes(RouteStage stage) {
        return pieceCount(stage) * stage.resultBytes();
    }

    /**
     * Records the results of a stage and marks it as finished.
     *
     * @param stage a started stage
     * @param handles one result handle per piece, in order
     */
    public void finish(RouteStage stage, List<String> handles) {
        results.put(stage.number(), List.copyOf(handles));
    }

    /**
     * Tells whether all stages have finished.
     *
     * @return true if no stage is left to run
     */
    public boolean finished() {
        return results.size() == stages.size();
    }

    /**
     * Tells whether a stage has started.
     *
     * @param stage a stage of the request's route
     * @return true if it was returned by {@link #startReady} or has no pieces
     */
    public boolean started(RouteStage stage) {
        return started.contains(stage.number());
    }

    /**
     * Tells whether a stage has finished.
     *
     * @param stage a stage of the request's route
     * @return true if its results are recorded or it has no pieces
     */
    public boolean finished(RouteStage stage) {
        return results.containsKey(stage.number());
    }

    /**
     * Returns the inputs of the request's final service.
     *
     * @return the result handles of all stages without successors, ordered by stage number and piece
     */
    public List<String> requestInputs() {
        return collectResults(route.lastStages().stream().sorted().toList());
    }

    /**
     * Returns the results that are no longer needed and marks them as released. Each stage is returned at most once.
     *
     * @param requestInputsUnneeded whether the final service has received its inputs or the request was abandoned
     * @return result handles by stage
     */
    public Map<RouteStage, List<String>> takeReleasable(boolean requestInputsUnneeded) {
        Map<RouteStage, List<String>> releasable = new HashMap<>();
        Set<Integer> lastStages = route.lastStages();
        for (RouteStage stage : route.stages()) {
            List<String> handles = results.getOrDefault(stage.number(), List.of());
            boolean unneeded = lastStages.contains(stage.number())
                    ? requestInputsUnneeded
                    : requestInputsUnneeded || successorsFinished(stage);
            if (unneeded && !handles.isEmpty() && released.add(stage.number())) {
                releasable.put(stage, handles);
            }
        }
        return releasable;
    }

    private boolean successorsFinished(RouteStage stage) {
        return route.stages().stream()
                .filter(successor -> successor.after().contains(stage.number()))
                .allMatch(successor -> results.containsKey(successor.number()));
    }

    private List<String> collectResults(List<Integer> numbers) {
        List<String> handles = new ArrayList<>();
        numbers.forEach(number -> handles.addAll(results.getOrDefault(number, List.of())));
        return handles;
    }
}
