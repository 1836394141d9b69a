package org.pimentovale.daemon.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.caller.EndpointNotifier;
import org.pimentovale.daemon.claim.PeerRecoveries;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.log.Events;
import org.pimentovale.table.Configuration;

/**
 * Exchanges notifications and heartbeats with the other instances, by gossip.
 *
 * <p>Notifications are sent immediately to a bounded number of instances, which forward those that are new to them. A
 * heartbeat is sent to the successors on the ring of names, so that each instance is monitored by a few others. With up
 * to {@link #MAX_FULL_MESH_INSTANCES} instances, both reach all others directly. Invariant: an instance sends at most
 * {@link #FAN_OUT} messages for a notification and for a heartbeat. Thread safe.
 */
public final class PeerExchange implements EndpointNotifier, PeerRecoveries {
    private static final Logger LOG = Logger.getLogger(PeerExchange.class);
    private static final int MAX_FULL_MESH_INSTANCES = 9;
    private static final int FAN_OUT = 8;
    private static final int HEARTBEAT_SUCCESSORS = 3;
    private static final int FULL_MESH_HEARTBEAT_MS = 1_000;
    private static final int RING_HEARTBEAT_MS = 2_000;
    private static final int FAILURES_BEFORE_REMOVAL = 3;

    private final Vertx vertx;
    private final ServingTables tables;
    private final MemberTable members;
    private final PeerClient client;
    private final DaemonMetrics metrics;
    private final Random random;
    private final List<String> seeds;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final NotificationQueue queue = new NotificationQueue();
    private final Map<String, Integer> failuresByAddress = new ConcurrentHashMap<>();

    /**
     * Creates an exchange.
     *
     * @param vertx runs the timers
     * @param tables the shared tables
     * @param key the key that the peer listeners require
     * @param certificateFile PEM file of the certificate that all peer listeners use; TLS is on if it is present
     * @param metrics counts the messages
     * @param random selects the receivers; thread safe
     * @param seeds peer addresses that receive heartbeats while no other member is known
     */
    public PeerExchange(
            Vertx vertx,
            ServingTables tables,
            AccessKey key,
            Optional<String> certificateFile,
            DaemonMetrics metrics,
            Random random,
            List<String> seeds) {
        this.vertx = vertx;
        this.tables = tables;
        this.members = tables.members();
        this.client = new PeerClient(vertx, key, certificateFile);
        this.metrics = metrics;
        this.random = random;
        this.seeds = seeds;
    }

    /** Announces this instance to the others and starts the heartbeats. */
    public void start() {
        tables.configuration().addListener(active -> vertx.runOnContext(run -> push()));
        queue.add(new PeerMessage.Joined(members.self(), members.ownEpoch()));
        heartbeat();
    }

    private PeerMessage drainQueue() {
        return queue.drain(
                members.self(), members.ownEpoch(), tables.configuration().revision());
    }

    private void heartbeat() {
        PeerMessage message = drainQueue();
        heartbeatTargets().forEach(address -> send(address, message));
        int periodMs = members.others().size() < MAX_FULL_MESH_INSTANCES ? FULL_MESH_HEARTBEAT_MS : RING_HEARTBEAT_MS;
        vertx.setTimer(periodMs, fired -> heartbeat());
    }

    private Set<String> heartbeatTargets() {
        List<Member> others = members.others();
        Set<String> targets = new LinkedHashSet<>();
        if (others.size() < MAX_FULL_MESH_INSTANCES) {
            others.forEach(member -> targets.add(member.peerAddress()));
            seeds.stream()
                    .filter(seed ->
                            others.isEmpty() && !seed.equals(members.self().peerAddress()))
                    .forEach(targets::add);
            return targets;
        }
        int firstSuccessor = 0;
        while (firstSuccessor < others.size()
                && others.get(firstSuccessor).name().compareTo(members.self().name()) < 0) {
            firstSuccessor++;
        }
        for (int step = 0; step < HEARTBEAT_SUCCESSORS; step++) {
            targets.add(others.get((firstSuccessor + step) % others.size()).peerAddress());
        }
        return targets;
    }

    /** Sends the waiting notifications and the active revision to at most {@link #FAN_OUT} live instances. */
    private Future<Void> push() {
        PeerMessage message = drainQueue();
        List<Member> others = new ArrayList<>(members.live());
        others.remove(members.self());
        if (others.size() > FAN_OUT) {
            Collections.shuffle(others, random);
            others = others.subList(0, FAN_OUT);
        }
        List<Future<?>> sent = new ArrayList<>();
        others.forEach(member -> sent.add(send(member.peerAddress(), message)));
        return sent.isEmpty() ? Future.succeededFuture() : Future.join(sent).mapEmpty();
    }

    /** Sends a message and records the outcome; the future does not fail. */
    private Future<Void> send(String address, PeerMessage message) {
        return client.send(address, message).transform(result -> {
            if (result.succeeded()) {
                metrics.recordPeerMessage("sent", "accepted");
                failuresByAddress.remove(address);
                handleReceipt(address, result.result());
            } else {
                metrics.recordPeerMessage("sent", "rejected");
                recordFailure(address);
            }
            return Future.succeededFuture();
        });
    }

    private void handleReceipt(String address, PeerMessage.Receipt receipt) {
        for (Member member : members.others()) {
            if (member.peerAddress().equals(address)) {
                members.recordContact(
                        member, members.epoch(member.name()), tables.clock().nowMs());
            }
        }
        receipt.deadEpoch().ifPresent(epoch -> refute(epoch));
        fetchNewerConfiguration(address, receipt.revision());
    }

    /** Announces that this instance is live in a later epoch than the one in which it was declared dead. */
    private void refute(long epoch) {
        members.declareDead(members.self().name(), epoch);
        if (queue.add(new PeerMessage.Joined(members.self(), members.ownEpoch()))) {
            vertx.runOnContext(run -> push());
        }
    }

    private boolean recordMember(Member member, long epoch) {
        members.recordContact(member, epoch, tables.clock().nowMs());
        return queue.add(new PeerMessage.Joined(member, epoch));
    }

    private void recordFailure(String address) {
        if (failuresByAddress.merge(address, 1, Integer::sum) < FAILURES_BEFORE_REMOVAL) {
            return;
        }
        failuresByAddress.remove(address);
        for (Member member : members.others()) {
            PeerMessage.Gone gone = new PeerMessage.Gone(member.name(), members.epoch(member.name()));
            if (member.peerAddress().equals(address) && queue.add(gone)) {
                Events.warn(LOG, "peer_unresponsive", "peer", member.name(), "address", address);
                members.declareDead(gone.name(), gone.epoch());
                vertx.runOnContext(run -> push());
            }
        }
    }

    /**
     * Fetches and applies the configuration of an instance that has a newer one, unless a fetch is in progress.
     *
     * @param address the instance's peer address
     * @param revision the revision of its active configuration
     */
    private void fetchNewerConfiguration(String address, long revision) {
        if (revision <= tables.configuration().revision() || !fetching.compareAndSet(false, true)) {
            return;
        }
        client.fetchConfiguration(address)
                .onComplete(result -> fetching.set(false))
                .onSuccess(this::applyConfiguration)
                .onFailure(failure -> Events.warn(
                        LOG, "peer_configuration_failed", "address", address, "failure", failure.getMessage()));
    }

    private void applyConfiguration(Configuration configuration) {
        if (tables.configuration().offer(configuration)) {
            Events.info(LOG, "configuration_in_force", "revision", configuration.revision(), "source", "peer");
        }
    }

    /**
     * Processes a message of another instance and forwards the notifications that are new.
     *
     * @param message a complete message
     * @return the receipt to send back
     */
    public PeerMessage.Receipt receive(PeerMessage message) {
        metrics.recordPeerMessage("received", "accepted");
        boolean hasNewItems = false;
        for (EndpointIncarnation warm : message.warm()) {
            tables.warmth().recordWarm(warm);
            hasNewItems |= queue.add(warm);
        }
        for (PeerMessage.Loss loss : message.losses()) {
            tables.suspects().recordLoss(loss.fingerprint(), loss.endpoint());
            hasNewItems |= queue.add(loss);
        }
        for (PeerMessage.Joined joined : message.joined()) {
            hasNewItems |= recordMember(joined.member(), joined.epoch());
        }
        for (PeerMessage.Gone gone : message.gone()) {
            if (gone.name().equals(members.self().name())) {
                refute(gone.epoch());
            } else if (queue.add(gone)) {
                hasNewItems = true;
                members.declareDead(gone.name(), gone.epoch());
            }
        }
        hasNewItems |= recordMember(message.from(), message.epoch());
        fetchNewerConfiguration(message.from().peerAddress(), message.revision());
        if (hasNewItems) {
            vertx.runOnContext(run -> push());
        }
        return new PeerMessage.Receipt(
                tables.configuration().revision(),
                members.deadEpoch(message.from().name()));
    }

    @Override
    public void notifyWarm(EndpointIncarnation endpoint) {
        Events.info(LOG, "endpoint_warm", "endpoint", endpoint.address(), "incarnation", endpoint.incarnation());
        if (queue.add(endpoint)) {
            vertx.runOnContext(run -> push());
        }
    }

    @Override
    public Future<Void> notifyLoss(String fingerprint, String endpoint) {
        Events.warn(LOG, "endpoint_lost", "endpoint", endpoint, "fingerprint", fingerprint);
        queue.add(new PeerMessage.Loss(fingerprint, endpoint));
        return push();
    }

    @Override
    public Future<Boolean> allWritten(long era) {
        List<Future<Boolean>> answers = new ArrayList<>();
        for (Member member : members.live()) {
            if (!member.equals(members.self())) {
                answers.add(hasWritten(member, era));
            }
        }
        return answers.isEmpty()
                ? Future.succeededFuture(true)
                : Future.join(answers).map(joined -> answers.stream().allMatch(Future::result));
    }

    private Future<Boolean> hasWritten(Member member, long era) {
        return client.fetchWrittenClaims(member.peerAddress()).transform(result -> {
            boolean written = result.succeeded() && result.result().era() >= era;
            if (!written) {
                String answer = result.succeeded()
                        ? String.valueOf(result.result().era())
                        : result.cause().getMessage();
                Events.warn(LOG, "claims_not_written_by_peer", "peer", member.name(), "era", era, "peer_era", answer);
            }
            return Future.succeededFuture(written);
        });
    }

    /**
     * Notifies up to {@link #FAN_OUT} other instances that this instance leaves.
     *
     * @return a future that completes once each call has ended; never fails
     */
    public Future<Void> notifyDeparture() {
        queue.add(new PeerMessage.Gone(members.self().name(), members.ownEpoch()));
        PeerMessage message = drainQueue();
        List<Future<?>> sent = new ArrayList<>();
        members.others().stream()
                .limit(FAN_OUT)
                .forEach(member -> sent.add(client.send(member.peerAddress(), message)));
        return sent.isEmpty()
                ? Future.succeededFuture()
                : Future.join(sent).<Void>mapEmpty().otherwiseEmpty();
    }
}
