package org.pimentovale.kernel.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.pimentovale.table.Configuration;

/**
 * Holds the newest accepted configuration that this instance has learnt of, from whatever source.
 *
 * <p>Invariant: the revision in force never decreases, so that a stale read, a late watch or an old peer cannot bring
 * an older version back. Thread safe; the table's lock comes before the locks that listeners take, since listeners are
 * called in the order of revisions under it.
 */
public final class ConfigurationTable {
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = Configuration.NONE;

    /**
     * Offers a version, which comes into force where it is newer.
     *
     * @param offered an accepted version
     * @return whether it came into force
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
     * Returns the version in force.
     *
     * @return the version, or empty before the first one
     */
    public Optional<Configuration> active() {
        Configuration snapshot = current;
        return snapshot.revision() == 0 ? Optional.empty() : Optional.of(snapshot);
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision, zero before the first one
     */
    public long revision() {
        return current.revision();
    }

    /**
     * Registers a listener that is told each version coming into force.
     *
     * @param listener the listener
     */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }
}
