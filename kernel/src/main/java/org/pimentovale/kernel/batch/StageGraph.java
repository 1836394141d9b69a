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
 * The stages of one request: which of them may start, whose results they take, and whose results nobody needs any more.
 *
 * <p>Invariant: a stage starts once, after all stages before it have finished; a stage without pieces counts as
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
     * @param pieceCounts the number of pieces of each stage; stages beyond the list have one
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
     * Returns the stages that may start now, and marks them as started.
     *
     * @return the stages
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
     * @param stage the stage
     * @return the number
     */
    public int pieceCount(RouteStage stage) {
        return pieceCountByStage.get(stage.number());
    }

    /**
     * Returns what each piece of a stage takes.
     *
     * @param stage a stage that may start
     * @return the results of all pieces of all stages before it, in order
     */
    public List<String> inputs(RouteStage stage) {
        return collectResults(stage.after());
    }

    /**
     * Records the results of a stage.
     *
     * @param stage the stage
     * @param handles one result a piece, in order
     */
    public void finish(RouteStage stage, List<String> handles) {
        results.put(stage.number(), List.copyOf(handles));
    }

    /**
     * Tells whether all stages have finished.
     *
     * @return whether they have
     */
    public boolean finished() {
        return results.size() == stages.size();
    }

    /**
     * Tells whether a stage has finished.
     *
     * @param stage the stage
     * @return whether its results are there
     */
    public boolean finished(RouteStage stage) {
        return results.containsKey(stage.number());
    }

    /**
     * Returns what the request itself takes.
     *
     * @return the results of all stages that no other stage follows, in order
     */
    public List<String> requestInputs() {
        return collectResults(route.lastStages().stream().sorted().toList());
    }

    /**
     * Returns the stages whose results are not needed any more, each of them once.
     *
     * @param requestInputsUnneeded whether the request itself has taken its inputs, or is given up
     * @return results by stage
     */
    public Map<RouteStage, List<String>> takeReleasable(boolean requestInputsUnneeded) {
        Map<RouteStage, List<String>> releasable = new HashMap<>();
        Set<Integer> lastStages = route.lastStages();
        for (RouteStage stage : route.stages()) {
            List<String> handles = results.getOrDefault(stage.number(), List.of());
            boolean unneeded = lastStages.contains(stage.number()) ? requestInputsUnneeded : requestInputsUnneeded || successorsFinished(stage);
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
