package org.pimentovale.standin.fleet;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Applies faults to single writes of the store stand-in. Each fault is used for one write.
 *
 * <p>Thread safe; the store's lock is taken before the lock of this class, never after it.
 */
public final class WriteInterceptor {
    private final Vertx vertx;
    private final List<Interception> interceptions = new ArrayList<>();
    private final List<Runnable> held = new ArrayList<>();

    private record Interception(
            WriteFault fault, Predicate<StoreWrite> selected, CompletableFuture<StoreWrite> intercepted) {}

    WriteInterceptor(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Applies a fault to the next write that is selected.
     *
     * @param fault the fault
     * @param selected selects the write
     * @return completes with the write after the fault was applied
     */
    public synchronized CompletableFuture<StoreWrite> interceptNext(WriteFault fault, Predicate<StoreWrite> selected) {
        CompletableFuture<StoreWrite> intercepted = new CompletableFuture<>();
        interceptions.add(new Interception(fault, selected, intercepted));
        return intercepted;
    }

    /** Sends the answers that are held, and applies the writes that are late. */
    public void release() {
        List<Runnable> released;
        synchronized (this) {
            released = List.copyOf(held);
            held.clear();
        }
        released.forEach(Runnable::run);
    }

    void handle(StoreWrite write, Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send) {
        Optional<Interception> interception = take(write);
        if (interception.isEmpty()) {
            send.accept(apply.get());
            return;
        }
        interception.get().fault().handle(apply, send).ifPresent(this::hold);
        // Completed outside the store's lock, since the test's reaction may call the store.
        vertx.runOnContext(run -> interception.get().intercepted().complete(write));
    }

    private synchronized void hold(Runnable remainder) {
        held.add(remainder);
    }

    private synchronized Optional<Interception> take(StoreWrite write) {
        Optional<Interception> first = interceptions.stream()
                .filter(interception -> interception.selected().test(write))
                .findFirst();
        first.ifPresent(interceptions::remove);
        return first;
    }
}
