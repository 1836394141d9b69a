package org.pimentovale.standin;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Stops work at a named point until it is released, so that a test can act at an exact step.
 *
 * <p>Invariant: an armed point stops one piece of work. Not thread safe; used on one event loop.
 */
final class HoldPoint {
    private final List<Promise<String>> observers = new ArrayList<>();
    private Optional<String> armed = Optional.empty();
    private int passes;
    private Optional<String> heldAt = Optional.empty();
    private Promise<Void> held = Promise.promise();

    /** Arms a point; the given number of passes is let through first. */
    void arm(String point, int passesBefore) {
        armed = Optional.of(point);
        passes = passesBefore;
    }

    /** Completes at once, or once the work is released where the point is armed. */
    Future<Void> pass(String point) {
        if (armed.isEmpty() || !armed.get().equals(point) || passes-- > 0) {
            return Future.succeededFuture();
        }
        armed = Optional.empty();
        heldAt = Optional.of(point);
        held = Promise.promise();
        List<Promise<String>> informed = List.copyOf(observers);
        observers.clear();
        informed.forEach(observer -> observer.tryComplete(point));
        return held.future();
    }

    /** Completes once work is held. */
    Future<String> awaitHeld() {
        if (heldAt.isPresent()) {
            return Future.succeededFuture(heldAt.get());
        }
        Promise<String> observer = Promise.promise();
        observers.add(observer);
        return observer.future();
    }

    /** Lets the held work go on. */
    void release() {
        armed = Optional.empty();
        heldAt = Optional.empty();
        held.tryComplete();
    }
}
