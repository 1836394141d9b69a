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
import org.pimentovale.daemon.caller.EndpointNews;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.daemon.log.Events;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.WarmEndpoint;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.table.Configuration;

/**
 * Tells other instances news, and learns theirs.
 *
 * <p>News go at once to a bounded number of instances, which pass on what they did not know; a heartbeat goes to the
 * successors on the ring of names, so that every instance is watched by a few. Up to {@link #SMALL_FLEET} instances
 * this reaches all others directly. Invariant: an instance sends at most {@link #FAN_OUT} messages for a piece of news
 * and for a heartbeat. Thread safe.
 */
public final class PeerExchange implements EndpointNews {
    private static final Logger LOG = Logger.getLogger(PeerExchange.class);
    private static final int SMALL_FLEET = 9;
    private static final int FAN_OUT = 8;
    private static final int WATCHED_SUCCESSORS = 3;
    private static final int SMALL_HEARTBEAT_MS = 1_000;
    private static final int LARGE_HEARTBEAT_MS = 2_000;
    private static final int FAILURES_OF_A_DEAD_MEMBER = 3;

    private final Vertx vertx;
    private final ServingTables tables;
    private final MemberTable members;
    private final PeerClient client;
    private final DaemonMetrics metrics;
    private final Random random;
    private final List<String> seeds;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final NewsQueue queue = new NewsQueue();
    private final Map<String, Integer> failures = new ConcurrentHashMap<>();

    /**
     * Creates an exchange.
     *
     * @param vertx runs timers
     * @param tables the shared tables
     * @param key the key of the peers' listeners
     * @param certificateFile the certificate that all peers' listeners use; TLS is on where it is given
     * @param metrics counts messages
     * @param random chooses receivers; thread safe
     * @param seeds addresses to ask while no member is known
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

    /** Begins to send heartbeats. */
    public void start() {
        tables.configuration().addListener(inForce -> vertx.runOnContext(run -> push()));
        heartbeat();
    }

    private void heartbeat() {
        PeerNews news = queue.take(members.self(), tables.configuration().revision());
        heartbeatTargets().forEach(address -> send(address, news));
        int periodMs = members.others().size() < SMALL_FLEET ? SMALL_HEARTBEAT_MS : LARGE_HEARTBEAT_MS;
        vertx.setTimer(periodMs, fired -> heartbeat());
    }

    private Set<String> heartbeatTargets() {
        List<Member> others = members.others();
        Set<String> targets = new LinkedHashSet<>();
        if (others.size() < SMALL_FLEET) {
            others.forEach(member -> targets.add(member.peerAddress()));
            seeds.stream()
                    .filter(seed ->
                            others.isEmpty() && !seed.equals(members.self().peerAddress()))
                    .forEach(targets::add);
            return targets;
        }
        int after = 0;
        while (after < others.size()
                && others.get(after).name().compareTo(members.self().name()) < 0) {
            after++;
        }
        for (int step = 0; step < WATCHED_SUCCESSORS; step++) {
            targets.add(others.get((after + step) % others.size()).peerAddress());
        }
        return targets;
    }

    /** Sends waiting news and the revision in force to as many instances as the fan-out allows. */
    private void push() {
        PeerNews news = queue.take(members.self(), tables.configuration().revision());
        List<Member> others = new ArrayList<>(members.others());
        if (others.size() > FAN_OUT) {
            Collections.shuffle(others, random);
            others = others.subList(0, FAN_OUT);
        }
        others.forEach(member -> send(member.peerAddress(), news));
    }

    private void send(String address, PeerNews news) {
        client.send(address, news)
                .onSuccess(receipt -> {
                    metrics.peerMessage("sent", "accepted");
                    failures.remove(address);
                    noteMember(receipt.from());
                    catchUp(address, receipt.revision());
                })
                .onFailure(failure -> {
                    metrics.peerMessage("sent", "rejected");
                    noteSilence(address);
                });
    }

    private void noteMember(Member member) {
        boolean unknown =
                members.others().stream().noneMatch(known -> known.name().equals(member.name()));
        members.heard(member, tables.clock().nowMs());
        queue.revive(member.name());
        if (unknown && queue.add(member)) {
            vertx.runOnContext(run -> push());
        }
    }

    private void noteSilence(String address) {
        int count = failures.merge(address, 1, Integer::sum);
        if (count < FAILURES_OF_A_DEAD_MEMBER) {
            return;
        }
        for (Member member : members.others()) {
            if (member.peerAddress().equals(address) && queue.addGone(member.name())) {
                Events.warn(LOG, "peer_silent", "peer", member.name(), "address", address);
                members.declareDead(member.name(), tables.clock().nowMs());
                vertx.runOnContext(run -> push());
            }
        }
    }

    /**
     * Fetches the configuration of an instance that holds a newer one.
     *
     * @param address the instance's peer address
     * @param revision the revision in force there
     */
    private void catchUp(String address, long revision) {
        if (revision <= tables.configuration().revision() || !fetching.compareAndSet(false, true)) {
            return;
        }
        client.configuration(address)
                .onComplete(result -> fetching.set(false))
                .onSuccess(this::offer)
                .onFailure(failure -> Events.warn(
                        LOG, "peer_configuration_failed", "address", address, "failure", failure.getMessage()));
    }

    private void offer(Configuration configuration) {
        if (tables.configuration().offer(configuration)) {
            Events.info(LOG, "configuration_in_force", "revision", configuration.revision(), "source", "peer");
        }
    }

    /**
     * Takes a message of another instance.
     *
     * @param news a complete message
     * @return the answer to it
     */
    public PeerNews.Receipt receive(PeerNews news) {
        metrics.peerMessage("received", "accepted");
        boolean unknown = false;
        for (WarmEndpoint warm : news.warm()) {
            tables.warmth().learnWarm(warm);
            unknown |= queue.add(warm);
        }
        for (PeerNews.Loss loss : news.losses()) {
            tables.suspects().recordLoss(loss.fingerprint(), loss.endpoint());
            unknown |= queue.add(loss);
        }
        for (Member joined : news.joined()) {
            if (queue.add(joined)) {
                unknown = true;
                members.heard(joined, tables.clock().nowMs());
            }
        }
        for (String gone : news.gone()) {
            if (!gone.equals(members.self().name()) && queue.addGone(gone)) {
                unknown = true;
                members.declareDead(gone, tables.clock().nowMs());
            }
        }
        noteMember(news.from());
        catchUp(news.from().peerAddress(), news.revision());
        if (unknown) {
            vertx.runOnContext(run -> push());
        }
        return new PeerNews.Receipt(members.self(), tables.configuration().revision());
    }

    @Override
    public void becameWarm(WarmEndpoint endpoint) {
        Events.info(LOG, "endpoint_warm", "endpoint", endpoint.address(), "incarnation", endpoint.incarnation());
        if (queue.add(endpoint)) {
            vertx.runOnContext(run -> push());
        }
    }

    @Override
    public void lostWhileRunning(String fingerprint, String endpoint) {
        Events.warn(LOG, "endpoint_lost", "endpoint", endpoint, "fingerprint", fingerprint);
        if (queue.add(new PeerNews.Loss(fingerprint, endpoint))) {
            push();
        }
    }

    /**
     * Says goodbye to the other instances.
     *
     * @return completes once all were told or did not answer
     */
    public Future<Void> leave() {
        queue.addGone(members.self().name());
        PeerNews news = queue.take(members.self(), tables.configuration().revision());
        List<Future<?>> sent = new ArrayList<>();
        members.others().stream().limit(FAN_OUT).forEach(member -> sent.add(client.send(member.peerAddress(), news)));
        return sent.isEmpty()
                ? Future.succeededFuture()
                : Future.join(sent).<Void>mapEmpty().otherwiseEmpty();
    }
}
