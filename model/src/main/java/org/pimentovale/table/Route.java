package org.pimentovale.table;

import java.util.List;
import java.util.Optional;

/**
 * Which stages a kind of request passes. Immutable and thread safe.
 *
 * <p>Invariant: at most one stage is not idempotent.
 *
 * @param kind the kind of request
 * @param deadlineMs time within which the answer must be whole, in milliseconds
 * @param urgency how soon it has to be served
 * @param stages the stages, in order
 */
public record Route(String kind, int deadlineMs, Urgency urgency, List<Stage> stages) {
    /**
     * Returns the stage that must run at most once.
     *
     * @return the stage, or empty where every stage is idempotent
     */
    public Optional<Stage> nonIdempotentStage() {
        return stages.stream().filter(stage -> !stage.idempotent()).findFirst();
    }
}
