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
 * <p>Invariants: a change is accepted exactly once, by writing a single value that holds both tables and the withdrawn
 * zones. A write without a response is retried unchanged. Each version holds the identifiers of the latest changes, so
 * that the editor can determine whether its write took effect even after later writes of others. Thread safe.
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
     * @param store the store that holds the configuration
     * @param maxRetries the maximum number of retries of a call without a response
     */
    public ConfigurationEditor(Vertx vertx, ObjectStore store, int maxRetries) {
        this.vertx = vertx;
        this.store = store;
        this.maxRetries = maxRetries;
    }

    /**
     * Reads the stored configuration.
     *
     * @return the configuration, {@link Configuration#NONE} if there is none
     */
    public Future<Configuration> current() {
        return read(maxRetries).map(Versioned::configuration);
    }

    /**
     * Reads a replaced version from the history.
     *
     * @param revision the revision of the version
     * @return the version, empty if the history does not contain it
     */
    public Future<Optional<Configuration>> readRevision(long revision) {
        return store.read(HISTORY_KIND, Long.toString(revision))
                .map(found -> found.map(object -> Configuration.parse(object.value())));
    }

    /**
     * Changes the configuration.
     *
     * @param changeIdentifier the identifier of the change; must not be used for another change
     * @param edit creates the new version from the current one; applied again if another editor has written meanwhile
     * @return the accepted version; fails with {@link ErrorCode#CONFIGURATION_CONFLICT} if the edit conflicts,
     *     {@link ErrorCode#STORE_UNAVAILABLE} if nothing was written, and
     *     {@link ErrorCode#CONFIGURATION_NOT_CONFIRMED} if the write may have taken effect or may do so later
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

    /**
     * Saves the version that is about to be replaced. A failure is ignored: it only prevents later merges based on that
     * version.
     */
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
            // An earlier attempt of this write took effect, and its response was lost.
            return Future.succeededFuture(stored.configuration());
        }
        return write(changeIdentifier, edit, stored);
    }

    /**
     * Returns whether a change has taken effect, according to the recent changes of the current version.
     *
     * @param changeIdentifier the identifier of the change
     * @return true if the current version lists the change; false is not final while the write is in flight
     */
    public Future<Boolean> containsChange(String changeIdentifier) {
        return current().map(configuration -> configuration.recentChanges().contains(changeIdentifier));
    }
}
