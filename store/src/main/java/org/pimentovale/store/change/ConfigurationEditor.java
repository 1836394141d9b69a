package org.pimentovale.store.change;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;
import org.pimentovale.table.Configuration;

/**
 * Changes the stored configuration by conditional writes.
 *
 * <p>Invariants: a change is accepted exactly once, by the write of one value that holds both tables and the zones; a
 * write without an answer is repeated unchanged, and each version names the latest changes, so that the editor finds
 * out whether its write took effect even where others have written since. Thread safe.
 */
public final class ConfigurationEditor {
    /** The kind of the stored configuration. */
    public static final String KIND = "configuration";

    /** The name of the stored configuration. */
    public static final String NAME = "current";

    private static final String HISTORY_KIND = "configuration-history";
    private static final int RETRY_DELAY_MS = 200;

    private final Vertx vertx;
    private final ObjectStore store;
    private final int maxRetries;

    private record Versioned(long version, Configuration configuration) {}

    /**
     * Creates an editor.
     *
     * @param vertx runs timers
     * @param store holds the configuration
     * @param maxRetries how often a call without an answer is repeated
     */
    public ConfigurationEditor(Vertx vertx, ObjectStore store, int maxRetries) {
        this.vertx = vertx;
        this.store = store;
        this.maxRetries = maxRetries;
    }

    /**
     * Reads the stored configuration.
     *
     * @return the configuration, {@link Configuration#NONE} where there is none
     */
    public Future<Configuration> current() {
        return read(maxRetries).map(Versioned::configuration);
    }

    /**
     * Reads an earlier version.
     *
     * @param revision its revision
     * @return the version, or empty where it is not kept
     */
    public Future<Optional<Configuration>> readRevision(long revision) {
        return store.read(HISTORY_KIND, Long.toString(revision))
                .map(found -> found.map(object -> Configuration.parse(object.value())));
    }

    /**
     * Changes the configuration.
     *
     * @param changeIdentifier names the change; never used for another
     * @param edit makes the new version from the current one; asked again where another editor was faster
     * @return the accepted version; fails with {@link ErrorCode#CONFIGURATION_CONFLICT},
     *     {@link ErrorCode#STORE_UNAVAILABLE} where nothing was written, and
     *     {@link ErrorCode#CONFIGURATION_NOT_CONFIRMED} where the write may have taken effect or may do so later
     */
    public Future<Configuration> change(String changeIdentifier, ConfigurationEdit edit) {
        return read(maxRetries).compose(current -> write(changeIdentifier, edit, current));
    }

    private Future<Versioned> read(int retriesLeft) {
        return store.read(KIND, NAME)
                .map(found -> found.map(ConfigurationEditor::toVersioned).orElse(new Versioned(0, Configuration.NONE)))
                .recover(failure -> retriesLeft > 0 && isStoreUnavailable(failure)
                        ? vertx.timer(RETRY_DELAY_MS).compose(fired -> read(retriesLeft - 1))
                        : Future.failedFuture(failure));
    }

    private static boolean isStoreUnavailable(Throwable failure) {
        return failure instanceof ServingException known && known.code() == ErrorCode.STORE_UNAVAILABLE;
    }

    private static Versioned toVersioned(StoredObject object) {
        return new Versioned(object.version(), Configuration.parse(object.value()));
    }

    private Future<Configuration> write(String changeIdentifier, ConfigurationEdit edit, Versioned current) {
        Configuration successor;
        try {
            successor = edit.apply(changeIdentifier, current.configuration());
        } catch (ServingException conflict) {
            return Future.failedFuture(conflict);
        }
        return saveToHistory(current.configuration())
                .compose(saved -> writeWithRetries(successor, current.version(), maxRetries))
                .compose(result -> handleResult(changeIdentifier, edit, successor, result));
    }

    /** Keeps the version that is about to be replaced; where this fails, only a later merge is impossible. */
    private Future<Void> saveToHistory(Configuration replaced) {
        if (replaced.revision() == 0) {
            return Future.succeededFuture();
        }
        return store.create(HISTORY_KIND, Long.toString(replaced.revision()), Json.write(replaced))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }

    private Future<WriteResult> writeWithRetries(Configuration successor, long version, int retriesLeft) {
        byte[] value = Json.write(successor);
        Future<WriteResult> written =
                version == 0 ? store.create(KIND, NAME, value) : store.update(KIND, NAME, version, value);
        return written.recover(failure -> {
            if (retriesLeft > 0) {
                return vertx.timer(RETRY_DELAY_MS)
                        .compose(fired -> writeWithRetries(successor, version, retriesLeft - 1));
            }
            String change =
                    successor.recentChanges().get(successor.recentChanges().size() - 1);
            return Future.failedFuture(
                    new ServingException(ErrorCode.CONFIGURATION_NOT_CONFIRMED, Outcome.UNKNOWN, "change " + change));
        });
    }

    private Future<Configuration> handleResult(
            String changeIdentifier, ConfigurationEdit edit, Configuration successor, WriteResult result) {
        if (result instanceof WriteResult.Accepted) {
            return Future.succeededFuture(successor);
        }
        Versioned stored = ((WriteResult.Conflict) result)
                .current()
                .map(ConfigurationEditor::toVersioned)
                .orElse(new Versioned(0, Configuration.NONE));
        if (stored.configuration().recentChanges().contains(changeIdentifier)) {
            // An earlier copy of this write took effect, and its answer was lost.
            return Future.succeededFuture(stored.configuration());
        }
        return write(changeIdentifier, edit, stored);
    }

    /**
     * Finds out whether a change took effect.
     *
     * @param changeIdentifier names the change
     * @return whether the current version contains it; false may still become true while its write is on the way
     */
    public Future<Boolean> containsChange(String changeIdentifier) {
        return current().map(configuration -> configuration.recentChanges().contains(changeIdentifier));
    }
}
