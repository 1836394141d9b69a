package org.pimentovale.daemon;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.log.Events;
import org.pimentovale.store.Platform;
import org.pimentovale.store.PlatformInstance;
import org.pimentovale.store.StoredObject;

/**
 * Registers this instance in the store, reads the registrations of the others, and removes those of dead instances.
 *
 * <p>An instance writes its registration at the start, and again if it is missing in a list, as in a restored store. It
 * deletes it at the end; there are no renewals. Thread safe.
 */
final class MemberRegistration {
    private static final Logger LOG = Logger.getLogger(MemberRegistration.class);
    private static final String KIND = "entries";
    private static final int RETRY_DELAY_MS = 500;
    private static final int MIN_REFRESH_PERIOD_MS = 1_000;
    private static final int FLEET_REFRESHES_PER_PERIOD = 8;
    private static final int REFRESHES_PER_LIST = 5;
    private static final int LISTS_PER_REMOVAL = 2;

    private final Vertx vertx;
    private final Platform platform;
    private final StoreHealth health;
    private final ServingTables tables;
    private volatile boolean deregistering;
    private volatile Set<String> leavingAddresses = Set.of();
    private int listCount;
    private int refreshCount;

    MemberRegistration(Vertx vertx, Platform platform, StoreHealth health, ServingTables tables) {
        this.vertx = vertx;
        this.platform = platform;
        this.health = health;
        this.tables = tables;
    }

    /**
     * Registers this instance and then reads the others, so that of two instances that start at the same time at least
     * one sees the other.
     */
    Future<Void> start() {
        return register().transform(registered -> refresh());
    }

    private Future<Void> register() {
        Member self = tables.members().self();
        return platform.objectStore()
                .create(KIND, self.name(), Json.write(self))
                .onFailure(failure -> {
                    if (!deregistering) {
                        vertx.setTimer(RETRY_DELAY_MS, fired -> register());
                    }
                })
                .mapEmpty();
    }

    private Future<Void> refresh() {
        boolean listDue = refreshCount % REFRESHES_PER_LIST == 0;
        refreshCount++;
        Future<Void> listed = listDue
                ? health.track(platform.objectStore().list(KIND))
                        .onSuccess(this::updateMembers)
                        .mapEmpty()
                : Future.succeededFuture();
        return listed.transform(done -> platform.instances())
                .onSuccess(this::updateLeavingAddresses)
                .transform(result -> {
                    // The live members may change even while the platform does not respond.
                    tables.updateContext(leavingAddresses);
                    int instances = tables.members().live().size();
                    int periodMs = MIN_REFRESH_PERIOD_MS * Math.max(1, instances / FLEET_REFRESHES_PER_PERIOD);
                    vertx.setTimer(periodMs, fired -> refresh());
                    return Future.succeededFuture();
                });
    }

    private void updateMembers(List<StoredObject> objects) {
        List<Member> registered = new ArrayList<>();
        for (StoredObject object : objects) {
            try {
                registered.add(Json.read(object.value(), Member.class));
            } catch (ServingException damaged) {
                Events.warn(LOG, "member_damaged", "name", object.name(), "failure", damaged.getMessage());
            }
        }
        tables.members().setRegistered(registered, tables.clock().nowMs());
        String self = tables.members().self().name();
        if (!deregistering && objects.stream().noneMatch(object -> object.name().equals(self))) {
            Events.warn(LOG, "member_registered_again", "member", self);
            register();
        }
        listCount++;
        if (listCount % LISTS_PER_REMOVAL == 0) {
            removeDeadMembers(objects);
        }
    }

    /** Removes the registrations of dead members for which this instance is the preferred one by rendezvous hashing. */
    private void removeDeadMembers(List<StoredObject> objects) {
        Set<String> dead = tables.members().dead();
        for (StoredObject object : objects) {
            if (dead.contains(object.name()) && tables.members().rank(object.name()) == 0) {
                platform.objectStore().delete(KIND, object.name(), object.version());
                Events.info(LOG, "member_removed", "member", object.name());
            }
        }
    }

    private void updateLeavingAddresses(List<PlatformInstance> instances) {
        Set<String> addresses = new HashSet<>();
        for (PlatformInstance instance : instances) {
            if (instance.leaving()) {
                addresses.add(instance.address());
            }
        }
        leavingAddresses = Set.copyOf(addresses);
    }

    /** Deletes the registration if the store responds; the future does not fail. */
    Future<Void> deregister() {
        deregistering = true;
        String name = tables.members().self().name();
        return platform.objectStore()
                .read(KIND, name)
                .compose(found -> found.map(object -> platform.objectStore()
                                .delete(KIND, name, object.version())
                                .<Void>mapEmpty())
                        .orElseGet(Future::succeededFuture))
                .otherwiseEmpty();
    }
}
