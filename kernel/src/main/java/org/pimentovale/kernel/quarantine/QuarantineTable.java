package org.pimentovale.kernel.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Finds out which property of requests crashes the endpoints that run them: a request as a whole, or a prompt part that
 * requests share.
 *
 * <p>A crash also interrupts sound requests, which share prompt parts with each other and with the request that caused
 * it. An answer that an endpoint has begun and continued shows that all parts of its prompt are sound, and discards the
 * losses counted against them; a part that crashes endpoints never gets such an answer. A loss of a request that
 * contains a quarantined key is explained by that key and counts against no other. At most one key is quarantined for
 * a lost request: one without a known answer before one with an answer, the most specific one first.
 *
 * <p>Endpoints that are lost at the same time have another cause in common, and count once against a part. So that the
 * losses which a part causes do not fall into that time, requests with a suspected part are sent one after the other,
 * no closer than it lasts, until an answer discards the losses or the part is quarantined. Invariants:
 * each incarnation of an endpoint counts at most once against a key; no more keys or parts than the capacity are kept,
 * and quarantined keys are evicted last. Not thread safe; used on one event loop.
 */
public final class QuarantineTable {
    /** How long a key stays quarantined, in milliseconds; a single further loss quarantines it again. */
    public static final long QUARANTINE_MS = 600_000;

    /** How long losses count against a key after the latest one, in milliseconds. */
    private static final long LOSS_VALID_MS = 600_000;

    /**
     * Endpoints that are lost within this time, in milliseconds, count once against a prompt part: the failure of a
     * zone or a rack takes many endpoints with it, and requests to all of them share parts.
     */
    private static final long COMMON_CAUSE_MS = 250;

    private static final int LOSSES_WITHOUT_KNOWN_ANSWER = 3;
    /** More losses are required of a part with known answers, since a busy part may be interrupted by many crashes. */
    private static final int LOSSES_AFTER_KNOWN_ANSWER = 5;

    private static final int LOSSES_UNTIL_SPACED = 1;
    private static final int LOSSES_UNTIL_SPACED_AFTER_KNOWN_ANSWER = 2;

    private final int capacity;
    private final Map<SuspectKey, Suspect> suspects = new LinkedHashMap<>();
    private final RecentSet answeredParts;
    private int quarantinedRequests;
    private int quarantinedParts;

    /**
     * Creates an empty table.
     *
     * @param capacity the maximum number of suspect keys, and of prompt parts with a known answer
     */
    public QuarantineTable(int capacity) {
        this.capacity = capacity;
        this.answeredParts = new RecentSet(capacity);
    }

    /**
     * Records that an endpoint was lost before it began to answer a request.
     *
     * @param incarnation identifies the endpoint and its start
     * @param request the lost request
     * @param nowMs the current time in milliseconds
     * @return the key that is quarantined because of this loss, empty if there is none
     */
    public Optional<SuspectKey> recordLoss(String incarnation, LostRequest request, long nowMs) {
        List<SuspectKey> keys = SuspectKey.of(request);
        if (keys.stream().anyMatch(key -> isQuarantined(key, nowMs))) {
            return Optional.empty();
        }
        for (SuspectKey key : keys) {
            Suspect suspect = findOrAdd(key);
            suspect.discardLossesBefore(nowMs - LOSS_VALID_MS);
            suspect.recordLoss(incarnation, nowMs, minimumDistanceMs(key));
        }
        Optional<SuspectKey> culprit = keys.stream()
                .filter(this::hasReachedThreshold)
                .min(Comparator.comparing(this::hasKnownAnswer).thenComparing(key -> -keys.indexOf(key)));
        culprit.ifPresent(key -> setQuarantined(key, suspects.get(key), nowMs + QUARANTINE_MS));
        return culprit;
    }

    private static long minimumDistanceMs(SuspectKey key) {
        return key.kind() == SuspectKey.Kind.PROMPT_PART ? COMMON_CAUSE_MS : 0;
    }

    private Suspect findOrAdd(SuspectKey key) {
        if (!suspects.containsKey(key) && suspects.size() >= capacity) {
            evictOne();
        }
        return suspects.computeIfAbsent(key, unused -> new Suspect());
    }

    private void evictOne() {
        SuspectKey evicted = suspects.keySet().stream()
                .filter(key -> !suspects.get(key).quarantined())
                .findFirst()
                .orElseGet(() -> suspects.keySet().iterator().next());
        release(evicted);
    }

    private boolean hasReachedThreshold(SuspectKey key) {
        int threshold = hasKnownAnswer(key) ? LOSSES_AFTER_KNOWN_ANSWER : LOSSES_WITHOUT_KNOWN_ANSWER;
        Suspect suspect = suspects.get(key);
        return suspect != null && suspect.losses() >= threshold;
    }

    private boolean hasKnownAnswer(SuspectKey key) {
        return key.kind() == SuspectKey.Kind.PROMPT_PART && answeredParts.contains(key.identifier());
    }

    /**
     * Decides whether a request may be sent now although it contains suspected prompt parts. If it may, it is recorded
     * as sent. A further attempt of the request that was sent last needs not wait for itself.
     *
     * @param request the request
     * @param nowMs the current time in milliseconds
     * @return zero if the request may be sent, otherwise the time in milliseconds after which to ask again
     */
    public long sendDelayMs(LostRequest request, long nowMs) {
        List<Suspect> suspected = request.sharedParts().stream()
                .map(SuspectKey::promptPart)
                .filter(key -> isSpaced(key, nowMs))
                .map(suspects::get)
                .toList();
        long delayMs = suspected.stream()
                .mapToLong(suspect -> suspect.latestRiskMs(request.fingerprint()) + COMMON_CAUSE_MS - nowMs)
                .max()
                .orElse(0);
        if (delayMs > 0) {
            return delayMs;
        }
        suspected.forEach(suspect -> suspect.recordSend(request.fingerprint(), nowMs));
        return 0;
    }

    /**
     * Tells whether an endpoint was lost lately while it ran this request or one that shares a prompt part with it.
     *
     * @param request the request
     * @param nowMs the current time in milliseconds
     * @return whether a loss counts against any of its keys
     */
    public boolean isSuspected(LostRequest request, long nowMs) {
        return Stream.concat(
                        Stream.of(SuspectKey.request(request.fingerprint())),
                        request.sharedParts().stream().map(SuspectKey::promptPart))
                .map(suspects::get)
                .anyMatch(suspect -> suspect != null && suspect.hasLossSince(nowMs - LOSS_VALID_MS));
    }

    private boolean isSpaced(SuspectKey key, long nowMs) {
        Suspect suspect = suspects.get(key);
        int losses = hasKnownAnswer(key) ? LOSSES_UNTIL_SPACED_AFTER_KNOWN_ANSWER : LOSSES_UNTIL_SPACED;
        return suspect != null && suspect.losses() >= losses && suspect.hasLossSince(nowMs - LOSS_VALID_MS);
    }

    /**
     * Records that an endpoint has begun and continued an answer to a request with the given prompt parts.
     *
     * @param sharedParts the identifiers of the shared parts of the prompt
     * @return the keys that were quarantined and are not any more
     */
    public List<SuspectKey> recordAnswer(Collection<String> sharedParts) {
        sharedParts.forEach(answeredParts::add);
        if (suspects.isEmpty()) {
            return List.of();
        }
        return sharedParts.stream()
                .map(SuspectKey::promptPart)
                .filter(this::release)
                .toList();
    }

    /**
     * Quarantines a key on the decision of another instance, unless this instance knows of an answer that refutes it.
     *
     * @param key the key
     * @param nowMs the current time in milliseconds
     * @return whether the key is quarantined
     */
    public boolean accept(SuspectKey key, long nowMs) {
        Optional<Suspect> known = Optional.ofNullable(suspects.get(key));
        int losses = known.map(Suspect::losses).orElse(0);
        if (hasKnownAnswer(key) && losses < LOSSES_WITHOUT_KNOWN_ANSWER) {
            return false;
        }
        Suspect suspect = findOrAdd(key);
        suspect.assumeLosses(LOSSES_WITHOUT_KNOWN_ANSWER, nowMs);
        setQuarantined(key, suspect, nowMs + QUARANTINE_MS);
        return true;
    }

    /**
     * Releases a key and discards the losses counted against it.
     *
     * @param key the key
     * @return whether the key was quarantined
     */
    public boolean release(SuspectKey key) {
        Suspect suspect = suspects.remove(key);
        boolean wasQuarantined = suspect != null && suspect.quarantined();
        if (wasQuarantined) {
            setQuarantined(key, suspect, Suspect.NOT_QUARANTINED);
        }
        return wasQuarantined;
    }

    /**
     * Ends the quarantine of a key. The losses counted against it remain, so one further loss quarantines it again.
     *
     * @param key the key
     */
    public void endQuarantine(SuspectKey key) {
        Suspect suspect = suspects.get(key);
        if (suspect != null) {
            setQuarantined(key, suspect, Suspect.NOT_QUARANTINED);
        }
    }

    /**
     * Ends the quarantines whose time is over.
     *
     * @param nowMs the current time in milliseconds
     * @return the keys that are not quarantined any more
     */
    public List<SuspectKey> endExpired(long nowMs) {
        List<SuspectKey> expired = quarantined().stream()
                .filter(key -> nowMs >= suspects.get(key).quarantinedUntilMs())
                .toList();
        expired.forEach(this::endQuarantine);
        return expired;
    }

    /**
     * Returns the quarantined keys.
     *
     * @return the keys, the oldest suspects first
     */
    public List<SuspectKey> quarantined() {
        return suspects.entrySet().stream()
                .filter(entry -> entry.getValue().quarantined())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Tells whether losses count against any key.
     *
     * @return false if no request needs to be delayed
     */
    public boolean hasSuspects() {
        return !suspects.isEmpty();
    }

    /**
     * Tells whether any prompt part is quarantined.
     *
     * @return false if requests need not be checked for their prompt parts
     */
    public boolean hasQuarantinedParts() {
        return quarantinedParts > 0;
    }

    /**
     * Tells whether any request as a whole is quarantined.
     *
     * @return false if the fingerprints of requests need not be computed
     */
    public boolean hasQuarantinedRequests() {
        return quarantinedRequests > 0;
    }

    /**
     * Returns the remaining time of a quarantine.
     *
     * @param key the key
     * @param nowMs the current time in milliseconds
     * @return milliseconds, empty if the key is not quarantined
     */
    public OptionalLong remainingMs(SuspectKey key, long nowMs) {
        return isQuarantined(key, nowMs)
                ? OptionalLong.of(suspects.get(key).quarantinedUntilMs() - nowMs)
                : OptionalLong.empty();
    }

    /**
     * Returns the number of losses that count against a key.
     *
     * @param key the key
     * @return the number of lost incarnations of endpoints
     */
    public int losses(SuspectKey key) {
        return Optional.ofNullable(suspects.get(key)).map(Suspect::losses).orElse(0);
    }

    private boolean isQuarantined(SuspectKey key, long nowMs) {
        Suspect suspect = suspects.get(key);
        return suspect != null && suspect.quarantined() && nowMs < suspect.quarantinedUntilMs();
    }

    private void setQuarantined(SuspectKey key, Suspect suspect, long untilMs) {
        int change = Boolean.compare(untilMs != Suspect.NOT_QUARANTINED, suspect.quarantined());
        suspect.setQuarantinedUntilMs(untilMs);
        if (key.kind() == SuspectKey.Kind.REQUEST) {
            quarantinedRequests += change;
        } else {
            quarantinedParts += change;
        }
    }
}
