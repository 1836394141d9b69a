package org.pimentovale.gateway.feed;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.PendingWatch;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.stream.HistoryCheckpoint;

/** A store whose responses the test gives. Thread safe. */
final class HeldStore implements PlatformStore {
    final BlockingQueue<Promise<ObjectPage>> lists = new LinkedBlockingQueue<>();
    final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();
    final BlockingQueue<Watch> cancelled = new LinkedBlockingQueue<>();

    /** A watch request that waits for its response. */
    record Watch(long revision, int waitMs, Promise<ObjectChanges> response) {}

    @Override
    public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
        Promise<ObjectPage> response = Promise.promise();
        lists.add(response);
        return response.future();
    }

    @Override
    public PendingWatch watch(ObjectKind kind, long revision, int waitMs) {
        Watch watch = new Watch(revision, waitMs, Promise.promise());
        watches.add(watch);
        return new PendingWatch(watch.response().future(), () -> cancel(watch));
    }

    private void cancel(Watch watch) {
        cancelled.add(watch);
        watch.response().tryFail(ServingException.unknown(ErrorCode.STORE_UNAVAILABLE, "cancelled"));
    }

    @Override
    public Future<Void> register(InstanceRecord instance) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> deregister(String name) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> storeCheckpoint(HistoryCheckpoint checkpoint) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Optional<HistoryCheckpoint>> readCheckpoint() {
        return Future.succeededFuture(Optional.empty());
    }

    @Override
    public Future<Void> storeQuarantine(SuspectKey key) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> removeQuarantine(SuspectKey key) {
        return Future.succeededFuture();
    }
}
