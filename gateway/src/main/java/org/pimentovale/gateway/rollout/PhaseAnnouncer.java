package org.pimentovale.gateway.rollout;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Pushes changes of phases to all gateways, repeatedly to those that have not answered. Not thread safe; used on one
 * event loop.
 */
final class PhaseAnnouncer {
    private static final int CALL_TIMEOUT_MS = 250;
    private static final long MAX_ANNOUNCED_MS = 10_000;

    private final GatewayTables tables;
    private final TimedHttpClient client;
    private final Map<String, Announcement> announcements = new HashMap<>();

    private record Announcement(Buffer body, long startedMs, Set<String> answered) {}

    PhaseAnnouncer(GatewayTables tables, TimedHttpClient client) {
        this.tables = tables;
        this.client = client;
    }

    /** Pushes a notice, which replaces an earlier one of the same service. */
    void announce(PhaseNotice notice) {
        Announcement announcement =
                new Announcement(Buffer.buffer(Json.write(notice)), tables.nowMs(), new HashSet<>());
        announcements.put(notice.service(), announcement);
        push(announcement);
    }

    /** Repeats the notices to those gateways that have not answered. */
    void repeat() {
        announcements.values().removeIf(announcement -> tables.nowMs() - announcement.startedMs() > MAX_ANNOUNCED_MS);
        announcements.values().forEach(this::push);
    }

    boolean isIdle() {
        return announcements.isEmpty();
    }

    private void push(Announcement announcement) {
        tables.peers().others().stream()
                .filter(peer -> !announcement.answered().contains(peer.name()))
                .forEach(peer -> push(announcement, peer));
    }

    private void push(Announcement announcement, InstanceRecord peer) {
        HttpCall call = new HttpCall(
                peer.address(),
                HttpMethod.POST,
                PeerPaths.ROLLOUT_PHASE,
                Optional.of(announcement.body()),
                CALL_TIMEOUT_MS);
        client.call(call, MultiMap.caseInsensitiveMultiMap())
                .onSuccess(response -> announcement.answered().add(peer.name()));
    }
}
