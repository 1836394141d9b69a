package org.pimentovale.kernel.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.pimentovale.table.Configuration;

/**
 * Holds the active configuration: the newest accepted version that this instance has received from any source.
 *
 * <p>Invariant: the active revision never decreases, so that a stale read, a delayed watch event or an outdated peer
 * cannot restore an older version. Thread safe. Listeners are called while the table's lock is held, in order of
 * revisions; the lock therefore precedes all locks that listeners acquire.
 */
public final class ConfigurationTable {
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = Configuration.NONE;

    /**
     * Activates a version if it is newer than the active one.
     *
     * @param offered an accepted version
     * @return whether it became active
     */
    public synchronized boolean offer(Configuration offered) {
        if (offered.revision() <= current.revision()) {
            return false;
        }
        current = offered;
        listeners.forEach(listener -> listener.accept(offered));
        return true;
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration, or empty before the first one
     */
    public Optional<Configuration> active() {
        Configuration snapshot = current;
        return snapshot.revision() == 0 ? Optional.empty() : Optional.of(snapshot);
    }

    /**
     * Returns the revision of the active configuration.
     *
     * @return the revision, zero before the first one
     */
    public long revision() {
        return current.revision();
    }

    /**
     * Registers a listener that is called with each version that becomes active.
     *
     * @param listener is called while the table's lock is held; it is not called with the version active now
     */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }
}
