package org.pimentovale.gateway.feed;

import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.log.Events;

/**
 * Keeps the object of this gateway in the store while the gateway serves, and removes it at the end.
 *
 * <p>The object is written again when the store does not list it any more. A list that was made during a write may
 * have been made before the write took effect, as is usual at a start; then the object is written again only if the
 * feed does not show it soon after the write. Invariant: at most one write is in progress. Not thread safe; used on one
 * event loop.
 */
public final class InstanceRegistration {
    private static final Logger LOG = Logger.getLogger(InstanceRegistration.class);
    private static final int RETRY_DELAY_MS = 700;
    /** Longer than the feed of gateways collects changes, so that a write that is in effect has been received. */
    private static final int CONFIRMATION_MS = 3_000;

    private final Vertx vertx;
    private final PlatformStore store;
    private final BooleanSupplier draining;
    private final int confirmationMs;
    private Optional<InstanceRecord> self = Optional.empty();
    private boolean writing;
    private boolean lostWhileWriting;

    /**
     * Creates a registration that is not written yet.
     *
     * @param vertx schedules retries
     * @param store the store
     * @param draining tells whether this gateway is shutting down, so that its object must not be written any more
     */
    public InstanceRegistration(Vertx vertx, PlatformStore store, BooleanSupplier draining) {
        this(vertx, store, draining, CONFIRMATION_MS);
    }

    InstanceRegistration(Vertx vertx, PlatformStore store, BooleanSupplier draining, int confirmationMs) {
        this.vertx = vertx;
        this.store = store;
        this.draining = draining;
        this.confirmationMs = confirmationMs;
    }

    /**
     * Writes the object, until it succeeds.
     *
     * @param record the record of this gateway
     */
    public void register(InstanceRecord record) {
        self = Optional.of(record);
        write(record);
    }

    /** Writes the object again, since the store does not list it. Does nothing before {@link #register}. */
    void missing() {
        if (writing) {
            lostWhileWriting = true;
        } else {
            self.ifPresent(this::write);
        }
    }

    /** Takes note that the store shows the object. */
    void shown() {
        lostWhileWriting = false;
    }

    private void write(InstanceRecord record) {
        if (draining.getAsBoolean()) {
            return;
        }
        writing = true;
        lostWhileWriting = false;
        store.register(record).onSuccess(done -> handleWritten(record)).onFailure(failure -> {
            Events.warn(LOG, "register_failed", "failure", failure.getMessage());
            vertx.setTimer(RETRY_DELAY_MS, fired -> write(record));
        });
    }

    private void handleWritten(InstanceRecord record) {
        writing = false;
        if (draining.getAsBoolean()) {
            // The write may have taken effect after the removal.
            remove(record);
        } else if (lostWhileWriting) {
            // The store may have been restored between the write and the list without the object.
            vertx.setTimer(confirmationMs, fired -> {
                if (lostWhileWriting && !writing) {
                    write(record);
                }
            });
        }
    }

    /** Removes the object of this gateway, which shuts down. */
    public void deregister() {
        self.ifPresent(this::remove);
    }

    private void remove(InstanceRecord record) {
        store.deregister(record.name())
                .onFailure(failure -> Events.warn(LOG, "deregister_failed", "failure", failure.getMessage()));
    }

    /**
     * Removes the object of another gateway, which had removed it itself before the store was restored.
     *
     * @param name the name of the other gateway
     */
    void removeOther(String name) {
        store.deregister(name)
                .onSuccess(done -> Events.info(LOG, "instance_removed_again", "name", name))
                .onFailure(failure ->
                        Events.warn(LOG, "instance_not_removed", "name", name, "failure", failure.getMessage()));
    }
}
