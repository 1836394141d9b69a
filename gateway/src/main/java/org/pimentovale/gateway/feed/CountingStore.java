package org.pimentovale.gateway.feed;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import java.util.EnumSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.ConditionalWrite;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.PendingWatch;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.RolloutStore;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.kernel.rollout.RolloutPhase;
import org.pimentovale.kernel.rollout.RolloutProgress;
import org.pimentovale.kernel.stream.HistoryCheckpoint;

/**
 * Counts the calls to a store by kind and cause.
 *
 * <p>Invariant: each call through this store is counted once, a watch when it ends and any other call when it is made.
 * A write that the platform splits into two requests counts once. Not thread safe; used on one event loop.
 */
public final class CountingStore implements PlatformStore {
    /** The wait of a watch that returns at once, in milliseconds. */
    static final int IMMEDIATE_WAIT_MS = 1;

    private static final String CHECKPOINT_KIND = "CHECKPOINT";

    private final PlatformStore delegate;
    private final GatewayMetrics metrics;
    private final Set<ObjectKind> unanswered = EnumSet.noneOf(ObjectKind.class);

    /**
     * Creates a store that forwards all calls.
     *
     * @param delegate makes the calls
     * @param metrics counts the calls
     */
    public CountingStore(PlatformStore delegate, GatewayMetrics metrics) {
        this.delegate = delegate;
        this.metrics = metrics;
    }

    @Override
    public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
        count(kind, unanswered.contains(kind) ? StoreCallCause.RETRY : StoreCallCause.LIST);
        return delegate.list(kind, after).onComplete(ended -> noteEnd(kind, ended));
    }

    @Override
    public PendingWatch watch(ObjectKind kind, long revision, int waitMs) {
        boolean retry = unanswered.contains(kind);
        PendingWatch watch = delegate.watch(kind, revision, waitMs);
        Future<ObjectChanges> changes = watch.changes().onComplete(ended -> {
            count(kind, causeOf(ended, waitMs, retry));
            noteEnd(kind, ended);
        });
        return new PendingWatch(changes, watch.cancel());
    }

    private static StoreCallCause causeOf(AsyncResult<ObjectChanges> ended, int waitMs, boolean retry) {
        if (retry) {
            return StoreCallCause.RETRY;
        }
        if (waitMs <= IMMEDIATE_WAIT_MS) {
            return StoreCallCause.CONFIRMATION;
        }
        if (ended.failed()) {
            return StoreCallCause.WATCH_FAILED;
        }
        return ended.result().changes().isEmpty()
                ? StoreCallCause.WATCH_ENDED_EMPTY
                : StoreCallCause.WATCH_ENDED_WITH_CHANGES;
    }

    /** Lost history is a response, and the list that follows is no retry. */
    private void noteEnd(ObjectKind kind, AsyncResult<?> ended) {
        if (ended.succeeded() || ServingException.of(ended.cause()).code() == ErrorCode.HISTORY_LOST) {
            unanswered.remove(kind);
        } else {
            unanswered.add(kind);
        }
    }

    private void count(ObjectKind kind, StoreCallCause cause) {
        metrics.recordStoreCall(kind.name(), cause.label());
    }

    @Override
    public Future<Void> register(InstanceRecord instance) {
        count(ObjectKind.INSTANCES, StoreCallCause.REGISTRATION);
        return delegate.register(instance);
    }

    @Override
    public Future<Void> deregister(String name) {
        count(ObjectKind.INSTANCES, StoreCallCause.REGISTRATION);
        return delegate.deregister(name);
    }

    @Override
    public Future<Void> storeQuarantine(SuspectKey key) {
        count(ObjectKind.QUARANTINES, StoreCallCause.QUARANTINE);
        return delegate.storeQuarantine(key);
    }

    @Override
    public Future<Void> removeQuarantine(SuspectKey key) {
        count(ObjectKind.QUARANTINES, StoreCallCause.QUARANTINE);
        return delegate.removeQuarantine(key);
    }

    @Override
    public Future<Void> storeCheckpoint(HistoryCheckpoint checkpoint) {
        metrics.recordStoreCall(CHECKPOINT_KIND, StoreCallCause.CHECKPOINT.label());
        return delegate.storeCheckpoint(checkpoint);
    }

    @Override
    public Future<Optional<HistoryCheckpoint>> readCheckpoint() {
        metrics.recordStoreCall(CHECKPOINT_KIND, StoreCallCause.CHECKPOINT.label());
        return delegate.readCheckpoint();
    }

    @Override
    public RolloutStore rollouts() {
        RolloutStore counted = delegate.rollouts();
        return new RolloutStore() {
            @Override
            public Future<ConditionalWrite<RolloutOrder>> writeRolloutStatus(RolloutOrder order, RolloutPhase phase) {
                count(ObjectKind.ROLLOUTS, StoreCallCause.ROLLOUT);
                return counted.writeRolloutStatus(order, phase);
            }

            @Override
            public Future<ConditionalWrite<RolloutProgress>> readRolloutProgress(String service) {
                count(ObjectKind.ROLLOUTS, StoreCallCause.ROLLOUT);
                return counted.readRolloutProgress(service);
            }

            @Override
            public Future<ConditionalWrite<RolloutProgress>> writeRolloutProgress(
                    String service, RolloutProgress progress, OptionalLong revision) {
                count(ObjectKind.ROLLOUTS, StoreCallCause.ROLLOUT);
                return counted.writeRolloutProgress(service, progress, revision);
            }
        };
    }
}
