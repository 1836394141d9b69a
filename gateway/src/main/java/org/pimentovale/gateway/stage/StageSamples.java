package org.pimentovale.gateway.stage;

import io.vertx.core.AsyncResult;
import java.util.List;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.PieceResult;
import org.pimentovale.gateway.port.PieceResult.PieceFailure;
import org.pimentovale.gateway.rollout.CallSample;

/** Records the results of calls for pieces as evidence on the build of their endpoints. Stateless and thread safe. */
final class StageSamples {
    private StageSamples() {}

    /** Records a call: bad if a piece failed or the call ended without a response although it may have run. */
    static void record(CallSample sample, AsyncResult<List<PieceResult>> result) {
        if (result.succeeded()) {
            sample.answered(result.result().stream()
                    .flatMap(piece -> piece.failure().stream())
                    .anyMatch(failure -> failure == PieceFailure.FAILED));
        } else {
            ServingException failure = ServingException.of(result.cause());
            if (failure.code() == ErrorCode.CONNECTION_LOST && failure.outcome() != Outcome.NOT_RUN) {
                sample.lost();
            } else if (failure.outcome() != Outcome.NOT_RUN) {
                sample.failed();
            }
        }
        sample.end();
    }
}
