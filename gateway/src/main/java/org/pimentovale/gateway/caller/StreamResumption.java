package org.pimentovale.gateway.caller;

import io.vertx.core.Future;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.CallerAttempt.ResumedStream;
import org.pimentovale.gateway.stream.OriginQuestion;
import org.pimentovale.gateway.stream.StreamOrigins;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.stream.OriginLookup;
import org.pimentovale.kernel.stream.StreamOrigin;

/**
 * Restricts the endpoints of a resumed stream to the software build that began it, since other builds write other
 * events.
 *
 * <p>Not thread safe; used on one event loop.
 */
final class StreamResumption {
    private final StreamOrigins origins;
    private final EndpointCandidates candidates;
    private final RequestLog log;

    StreamResumption(StreamOrigins origins, EndpointCandidates candidates, RequestLog log) {
        this.origins = origins;
        this.candidates = candidates;
        this.log = log;
    }

    /**
     * Restricts the candidates. Fails with {@link ErrorCode#STREAM_ORIGIN_UNKNOWN} and outcome "not run" if the stream
     * cannot go on.
     */
    Future<Void> restrict(ResumedStream stream, ServingRoute route) {
        String firstAttempt = stream.firstAttempt().orElse("");
        OriginQuestion question = new OriginQuestion(
                firstAttempt,
                candidates.service().name(),
                OriginLookup.windowMs(route.timeoutMs()),
                route.host(),
                candidates.path());
        return origins.find(question)
                .compose(this::refreshIfBuildIsNotListed)
                .compose(decision -> restrictTo(firstAttempt, decision));
    }

    /** The list of endpoints may be older than the stream if this gateway was cut off from the store or suspended. */
    private Future<OriginLookup.Decision> refreshIfBuildIsNotListed(OriginLookup.Decision decision) {
        boolean notListed = decision.origin().filter(candidates::restrictTo).isPresent() && candidates.isBuildGone();
        return notListed ? origins.refreshEndpoints().map(decision) : Future.succeededFuture(decision);
    }

    private Future<Void> restrictTo(String firstAttempt, OriginLookup.Decision decision) {
        Optional<String> obstacle = restrictTo(firstAttempt, decision.origin());
        log.info(
                "stream_resumed",
                "first_attempt",
                firstAttempt,
                "origin",
                decision.origin().map(StreamOrigin::toString).orElse("unknown"),
                "basis",
                decision.basis(),
                "gateways",
                decision.gateways(),
                "answers",
                decision.answers(),
                "confirmed_ms",
                decision.confirmedMs(),
                "window_ms",
                decision.windowMs(),
                "refused",
                obstacle.orElse("no"));
        return obstacle.isEmpty()
                ? Future.succeededFuture()
                : Future.failedFuture(ServingException.notRun(ErrorCode.STREAM_ORIGIN_UNKNOWN, obstacle.get()));
    }

    /** Returns the reason why the stream cannot go on, empty if it can. */
    private Optional<String> restrictTo(String firstAttempt, Optional<StreamOrigin> origin) {
        if (origin.isEmpty()) {
            return Optional.of("no gateway knows where attempt " + firstAttempt + " began");
        }
        if (!candidates.restrictTo(origin.get())) {
            return Optional.of(
                    "the route does not lead to service " + origin.get().service());
        }
        return candidates.isBuildGone()
                ? Optional.of("no endpoint runs build " + origin.get().build())
                : Optional.empty();
    }
}
