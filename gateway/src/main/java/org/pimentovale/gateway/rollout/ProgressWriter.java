package org.pimentovale.gateway.rollout;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.port.ConditionalWrite;
import org.pimentovale.gateway.port.RolloutStore;
import org.pimentovale.kernel.rollout.RolloutPhase;
import org.pimentovale.kernel.rollout.RolloutProgress;
import org.pimentovale.kernel.rollout.RolloutState;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;

/**
 * Reads the progress of one order once, and writes it when a phase begins.
 *
 * <p>Invariant: at most one call is in progress. Not thread safe; used on one event loop.
 */
final class ProgressWriter {
    private static final Logger LOG = Logger.getLogger(ProgressWriter.class);
    private static final long RETRY_INTERVAL_MS = 300;

    private final RolloutStore store;
    private final RolloutState state;
    private final MonotonicClock clock;
    private final LongSupplier wallClock;
    private final Consumer<RolloutProgress> onProgress;
    private boolean known;
    private boolean calling;
    private long nextCallMs = Long.MIN_VALUE;
    private OptionalLong revision = OptionalLong.empty();
    private Optional<RolloutPhase> wanted = Optional.empty();
    private Optional<RolloutPhase> written = Optional.empty();

    /**
     * Creates a writer that has not read yet.
     *
     * @param store the store
     * @param state the order
     * @param clock the source of monotonic time
     * @param wallClock the time of day in Unix milliseconds
     * @param onProgress receives the progress of the same order that another decider has written
     */
    ProgressWriter(
            RolloutStore store,
            RolloutState state,
            MonotonicClock clock,
            LongSupplier wallClock,
            Consumer<RolloutProgress> onProgress) {
        this.store = store;
        this.state = state;
        this.clock = clock;
        this.wallClock = wallClock;
        this.onProgress = onProgress;
    }

    /** Tells whether the store has answered what progress it holds. */
    boolean isKnown() {
        return known;
    }

    boolean hasWritten(RolloutPhase phase) {
        return written.filter(phase::equals).isPresent();
    }

    /** Writes a phase as soon as possible; a phase that is not written yet is replaced. */
    void write(RolloutPhase phase) {
        wanted = Optional.of(phase);
        proceed();
    }

    /** Sends the next call, unless one is in progress or has just failed. */
    void proceed() {
        boolean nothingToDo = known && (wanted.isEmpty() || wanted.equals(written));
        if (nothingToDo || calling || clock.nowMs() < nextCallMs) {
            return;
        }
        calling = true;
        nextCallMs = clock.nowMs() + RETRY_INTERVAL_MS;
        String service = state.order().service();
        if (!known) {
            store.readRolloutProgress(service)
                    .onComplete(ended -> calling = false)
                    .onSuccess(this::adopt)
                    .onFailure(this::logFailure);
            return;
        }
        RolloutPhase phase = wanted.get();
        RolloutProgress progress =
                new RolloutProgress(state.order().identity(), phase, state.ageMs(clock.nowMs()), wallClock.getAsLong());
        store.writeRolloutProgress(service, progress, revision)
                .onComplete(ended -> calling = false)
                .onSuccess(result -> handleWrite(phase, result))
                .onFailure(this::logFailure);
    }

    private void handleWrite(RolloutPhase phase, ConditionalWrite<RolloutProgress> result) {
        if (result.written()) {
            written = Optional.of(phase);
            revision = result.revision();
            nextCallMs = Long.MIN_VALUE;
        } else {
            adopt(result);
        }
    }

    private void adopt(ConditionalWrite<RolloutProgress> result) {
        known = true;
        revision = result.revision();
        nextCallMs = Long.MIN_VALUE;
        result.current()
                .filter(progress -> progress.identity().equals(state.order().identity()))
                .ifPresent(progress -> {
                    written = Optional.of(progress.phase());
                    onProgress.accept(progress);
                });
    }

    private void logFailure(Throwable failure) {
        Events.warn(
                LOG, "rollout_progress_failed", "service", state.order().service(), "failure", failure.getMessage());
    }
}
