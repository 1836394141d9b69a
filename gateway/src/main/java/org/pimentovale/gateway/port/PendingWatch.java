package org.pimentovale.gateway.port;

import io.vertx.core.Future;

/**
 * A watch request in progress.
 *
 * @param changes the changes, possibly none; fails with {@link org.pimentovale.error.ErrorCode#HISTORY_LOST} if the
 *     store no longer has all changes after the watched revision
 * @param cancel ends the request and closes its connection; the changes then fail unless they have arrived before
 */
public record PendingWatch(Future<ObjectChanges> changes, Runnable cancel) {
    /**
     * Creates a watch that cannot be cancelled.
     *
     * @param changes the changes
     * @return the watch
     */
    public static PendingWatch of(Future<ObjectChanges> changes) {
        return new PendingWatch(changes, () -> {});
    }
}
