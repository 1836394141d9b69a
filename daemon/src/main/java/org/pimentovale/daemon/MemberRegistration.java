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
 * Registers this instance in the store, learns of the others, and removes those that are gone.
 *
 * <p>One write at the start and one at the end; no renewals. Thread safe.
 */
final class MemberRegistration {
    private static final Logger LOG = Logger.getLogger(MemberRegistration.class);
    private static final String KIND = "entries";
    private static final int REPEAT_MS = 500;
    private static final int REFRESH_PERIOD_MS = 1_000;
    private static final int REFRESHES_PER_PERIOD = 8;
    private static final int REFRESHES_PER_LIST = 5;
    private static final int LISTS_BEFORE_REMOVAL = 2;

    private final Vertx vertx;
    private final Platform platform;
    private final StoreHealth health;
    private final ServingTables tables;
    private volatile boolean left;
    private volatile Set<String> leaving = Set.of();
    private int lists;
    private int refreshes;

    MemberRegistration(Vertx vertx, Platform platform, StoreHealth health, ServingTables tables) {
        this.vertx = vertx;
        this.platform = platform;
        this.health = health;
        this.tables = tables;
    }

    /** Registers and then reads the others, so that of two instances that start at once one sees the other. */
    Future<Void> start() {
        return register().transform(registered -> refresh());
    }

    private Future<Void> register() {
        Member self = tables.members().self();
        return platform.objectStore()
                .create(KIND, self.name(), Json.write(self))
                .onFailure(failure -> {
                    if (!left) {
                        vertx.setTimer(REPEAT_MS, fired -> register());
                    }
                })
                .mapEmpty();
    }

    private Future<Void> refresh() {
        boolean listDue = refreshes % REFRESHES_PER_LIST == 0;
        refreshes++;
        Future<Void> listed = listDue
                ? health.watch(platform.objectStore().list(KIND))
                        .onSuccess(this::takeOver)
                        .mapEmpty()
                : Future.succeededFuture();
        return listed.transform(done -> platform.instances())
                .onSuccess(this::takeLeaving)
                .transform(result -> {
                    // Members come and go also while the platform does not answer.
                    tables.updateContext(leaving);
                    int instances = tables.members().live().size();
                    int periodMs = REFRESH_PERIOD_MS * Math.max(1, instances / REFRESHES_PER_PERIOD);
                    vertx.setTimer(periodMs, fired -> refresh());
                    return Future.succeededFuture();
                });
    }

    private void takeOver(List<StoredObject> objects) {
        List<Member> registered = new ArrayList<>();
        for (StoredObject object : objects) {
            try {
                registered.add(Json.read(object.value(), Member.class));
            } catch (ServingException damaged) {
                Events.warn(LOG, "member_damaged", "name", object.name(), "failure", damaged.getMessage());
            }
        }
        tables.members().setRegistered(registered, tables.clock().nowMs());
        lists++;
        if (lists % LISTS_BEFORE_REMOVAL == 0) {
            removeDead(objects);
        }
    }

    /** The instance that a rendezvous prefers for the dead one's name removes its registration. */
    private void removeDead(List<StoredObject> objects) {
        Set<String> dead = tables.members().dead();
        for (StoredObject object : objects) {
            if (dead.contains(object.name()) && tables.members().rank(object.name()) == 0) {
                platform.objectStore().delete(KIND, object.name(), object.version());
                Events.info(LOG, "member_removed", "member", object.name());
            }
        }
    }

    private void takeLeaving(List<PlatformInstance> instances) {
        Set<String> listed = new HashSet<>();
        for (PlatformInstance instance : instances) {
            if (instance.leaving()) {
                listed.add(instance.address());
            }
        }
        leaving = Set.copyOf(listed);
    }

    /** Removes the registration, as far as the store answers. */
    Future<Void> leave() {
        left = true;
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
