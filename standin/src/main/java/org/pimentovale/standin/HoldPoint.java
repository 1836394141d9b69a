package org.pimentovale.standin;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Suspends an operation at a named point until it is released, so that a test can inject a fault at an exact step.
 *
 * <p>Invariant: an armed point suspends one operation only. Not thread safe; used on one event loop.
 */
final class HoldPoint {
    private final List<Promise<String>> observers = new ArrayList<>();
    private Optional<String> armedPoint = Optional.empty();
    private int remainingPasses;
    private Optional<String> heldPoint = Optional.empty();
    private Promise<Void> releasePromise = Promise.promise();

    /** Arms a point; the given number of operations passes it before one is suspended. */
    void arm(String point, int passesBeforeHold) {
        armedPoint = Optional.of(point);
        remainingPasses = passesBeforeHold;
    }

    /** Returns a completed future, or, if the point is armed, one that completes on release. */
    Future<Void> pass(String point) {
        if (armedPoint.isEmpty() || !armedPoint.get().equals(point) || remainingPasses-- > 0) {
            return Future.succeededFuture();
        }
        armedPoint = Optional.empty();
        heldPoint = Optional.of(point);
        releasePromise = Promise.promise();
        List<Promise<String>> notifiedObservers = List.copyOf(observers);
        observers.clear();
        notifiedObservers.forEach(observer -> observer.tryComplete(point));
        return releasePromise.future();
    }

    /** Returns a future that completes with the name of the point once an operation is suspended. */
    Future<String> awaitHeld() {
        if (heldPoint.isPresent()) {
            return Future.succeededFuture(heldPoint.get());
        }
        Promise<String> observer = Promise.promise();
        observers.add(observer);
        return observer.future();
    }

    /** Disarms the point and resumes the suspended operation. */
    void release() {
        armedPoint = Optional.empty();
        heldPoint = Optional.empty();
        releasePromise.tryComplete();
    }
}
