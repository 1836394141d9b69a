package org.pimentovale.table;

import java.util.List;
import java.util.Optional;

/**
 * The stages that requests of a kind pass through. Immutable and thread safe.
 *
 * <p>Invariant: at most one stage is not idempotent.
 *
 * @param kind the kind of request
 * @param deadlineMs the time within which the response must be complete, in milliseconds
 * @param urgency the urgency class of the requests
 * @param stages the stages in order of execution
 */
public record Route(String kind, int deadlineMs, Urgency urgency, List<Stage> stages) {
    /**
     * Returns the stage that must be executed at most once.
     *
     * @return the stage, empty if every stage is idempotent
     */
    public Optional<Stage> nonIdempotentStage() {
        return stages.stream().filter(stage -> !stage.idempotent()).findFirst();
    }
}
