package org.pimentovale.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * An in-process platform with an object store in memory, for a single instance. Objects are lost when the process ends.
 *
 * <p>Invariant: each waiter is completed once. Thread safe; waiters are completed without holding the lock on {@code
 * waiters}.
 */
public final class EmbeddedPlatform implements Platform, ObjectStore {
    private static final long FIRST_ERA = 1;

    private final Vertx vertx;
    private final InMemoryObjectTable table;
    private final List<Waiter> waiters = new ArrayList<>();

    private record Waiter(String kind, String name, Promise<Optional<StoredObject>> promise) {}

    /**
     * Creates a platform that stores its objects in a table.
     *
     * @param vertx runs the timeouts of waiters
     * @param table the object table
     */
    public EmbeddedPlatform(Vertx vertx, InMemoryObjectTable table) {
        this.vertx = vertx;
        this.table = table;
        table.addListener(this::completeWaiters);
    }

    @Override
    public ObjectStore objectStore() {
        return this;
    }

    @Override
    public long era() {
        return FIRST_ERA;
    }

    @Override
    public Future<List<PlatformInstance>> instances() {
        return Future.succeededFuture(List.of());
    }

    @Override
    public Future<Optional<StoredObject>> read(String kind, String name) {
        return Future.succeededFuture(table.read(kind, name));
    }

    @Override
    public Future<List<StoredObject>> list(String kind) {
        return Future.succeededFuture(table.list(kind));
    }

    @Override
    public Future<WriteResult> create(String kind, String name, byte[] value) {
        return Future.succeededFuture(table.write(kind, name, 0, value));
    }

    @Override
    public Future<WriteResult> update(String kind, String name, long version, byte[] value) {
        return Future.succeededFuture(table.write(kind, name, version, value));
    }

    @Override
    public Future<Boolean> delete(String kind, String name, long version) {
        return Future.succeededFuture(table.delete(kind, name, version));
    }

    @Override
    public Future<Optional<StoredObject>> awaitChange(String kind, String name, long knownVersion, int waitMs) {
        Waiter waiter = new Waiter(kind, name, Promise.promise());
        synchronized (waiters) {
            waiters.add(waiter);
        }
        Optional<StoredObject> current = table.read(kind, name).filter(object -> object.version() > knownVersion);
        if (current.isPresent()) {
            finish(waiter, current);
        } else {
            vertx.setTimer(Math.max(1, waitMs), fired -> finish(waiter, Optional.empty()));
        }
        return waiter.promise().future();
    }

    private void completeWaiters(StoredObject written) {
        List<Waiter> matching = new ArrayList<>();
        synchronized (waiters) {
            Iterator<Waiter> iterator = waiters.iterator();
            while (iterator.hasNext()) {
                Waiter waiter = iterator.next();
                if (waiter.kind().equals(written.kind()) && waiter.name().equals(written.name())) {
                    iterator.remove();
                    matching.add(waiter);
                }
            }
        }
        matching.forEach(waiter -> waiter.promise().tryComplete(Optional.of(written)));
    }

    private void finish(Waiter waiter, Optional<StoredObject> result) {
        synchronized (waiters) {
            waiters.remove(waiter);
        }
        waiter.promise().tryComplete(result);
    }
}
