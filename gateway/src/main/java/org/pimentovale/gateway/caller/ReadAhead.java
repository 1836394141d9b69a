package org.pimentovale.gateway.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.pimentovale.kernel.limit.ResponseMemory;

/**
 * Writes a response to its caller, and keeps the parts that were read from the endpoint before the caller took them.
 *
 * <p>The parts are kept here instead of in the queue of the connection, since a connection is closed only after its
 * queue has been written, which never happens if the caller does not read. Invariants: parts are written in the order
 * in which they arrived; all kept parts are reserved, except those that arrive after {@link #write} has returned false.
 * Not thread safe; used on one event loop.
 */
final class ReadAhead {
    private final HttpServerResponse caller;
    private final ResponseMemory.Reservation reservation;
    private final BooleanSupplier active;
    private final Runnable resume;
    private final Deque<Part> waiting = new ArrayDeque<>();
    private boolean stopped;
    private Optional<Runnable> onEmpty = Optional.empty();

    private record Part(Buffer bytes, boolean reserved) {}

    /**
     * Creates a writer.
     *
     * @param caller the response to the caller
     * @param reservation the memory of the request
     * @param active whether the response is still wanted
     * @param resume lets the endpoint be read again
     */
    ReadAhead(
            HttpServerResponse caller,
            ResponseMemory.Reservation reservation,
            BooleanSupplier active,
            Runnable resume) {
        this.caller = caller;
        this.reservation = reservation;
        this.active = active;
        this.resume = resume;
        caller.drainHandler(drained -> drain());
    }

    /** Writes or keeps a part; returns whether the endpoint may be read further, otherwise it is resumed later. */
    boolean write(Buffer part) {
        if (waiting.isEmpty() && !caller.writeQueueFull()) {
            caller.write(part);
            return true;
        }
        boolean reserved = reservation.tryReserve(part.length());
        waiting.add(new Part(part, reserved));
        stopped |= !reserved;
        return reserved;
    }

    /** Runs an action once no part is kept any more. */
    void whenEmpty(Runnable action) {
        if (waiting.isEmpty()) {
            action.run();
        } else {
            onEmpty = Optional.of(action);
        }
    }

    /** Drops the parts that are kept, since the request has ended. */
    void drop() {
        waiting.forEach(this::release);
        waiting.clear();
        onEmpty = Optional.empty();
    }

    private void release(Part part) {
        if (part.reserved()) {
            reservation.release(part.bytes().length());
        }
    }

    private void drain() {
        if (!active.getAsBoolean()) {
            drop();
            return;
        }
        while (!waiting.isEmpty() && !caller.writeQueueFull()) {
            Part next = waiting.remove();
            caller.write(next.bytes());
            release(next);
        }
        if (stopped) {
            stopped = false;
            resume.run();
        }
        if (waiting.isEmpty()) {
            onEmpty.ifPresent(Runnable::run);
            onEmpty = Optional.empty();
        }
    }
}
