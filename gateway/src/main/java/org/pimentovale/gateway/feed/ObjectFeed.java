package org.pimentovale.gateway.feed;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.PendingWatch;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.kernel.history.ChangeCoverage;
import org.pimentovale.kernel.history.ContactRole;
import org.pimentovale.kernel.history.ListVerdict;
import org.pimentovale.kernel.history.ObjectHistory;
import org.pimentovale.kernel.history.ObjectWrite;
import org.pimentovale.kernel.history.StoreOutage;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.limit.ContentBudget;
import org.pimentovale.kernel.time.ClockReading;

/**
 * Watches one kind of objects: lists them, then watches for changes, and lists them again if the store no longer has
 * the changes.
 *
 * <p>A watch request that ends without a response indicates a dead connection or an unavailable store; the next request
 * uses a new connection and continues after the last revision. Until one is answered, requests do not wait for changes,
 * so that the end of an outage is noticed soon. When the store was restored from a backup, the kind is
 * listed, and listed again once the writers had time to write again.
 *
 * <p>Invariant: within an era, the listener never receives a revision older than one it has received; of an earlier era
 * it receives nothing. Not thread safe; used on one event loop.
 */
public final class ObjectFeed {
    private static final Logger LOG = Logger.getLogger(ObjectFeed.class);
    private static final int CHECK_WAIT_MS = 1;
    private static final int RESPONSE_MARGIN_MS = 1_000;
    // Ten such parts are in use if all kinds but the configuration are full and are being listed.
    private static final int HEAP_PARTS_OF_CONTENT = 64;

    private final Vertx vertx;
    private final PlatformStore store;
    private final ObjectKind kind;
    private final FeedTiming timing;
    private final FeedListener listener;
    private final FeedClocks clock;
    private final LongConsumer eraListener;
    private final Consumer<StoreOutage> outageListener;
    private final StoreContact contact;
    private final FeedLog log;
    private final ObjectHistory history;
    private final ChangeCoverage coverage;
    private final FeedConfirmations confirmations;
    private final FeedFailures failures;
    private final FeedWaits waits;
    private final ContentBudget budget;
    private final FeedObjects objects;
    private long round;
    private boolean stopped;
    private boolean listing = true;
    private ClockReading listSent = new ClockReading(0, 0);
    private Optional<PendingWatch> pendingWatch = Optional.empty();
    private boolean waitingLong;
    private boolean retryDelayed;
    private boolean relist;

    /**
     * Creates a feed, which does nothing until it is started.
     *
     * @param vertx schedules the requests
     * @param store the store
     * @param kind the kind to watch
     * @param timing the timing of the requests to the store
     * @param listener receives the objects and their changes
     * @param random adds jitter to the backoff, so that gateways do not retry at the same time
     * @param clock the sources of time
     * @param eraListener receives the store's era with each list
     * @param outageListener receives each outage of the store when it has ended for this feed
     */
    public ObjectFeed(
            Vertx vertx,
            PlatformStore store,
            ObjectKind kind,
            FeedTiming timing,
            FeedListener listener,
            RandomGenerator random,
            FeedClocks clock,
            LongConsumer eraListener,
            Consumer<StoreOutage> outageListener) {
        this(
                vertx,
                store,
                kind,
                timing,
                listener,
                random,
                clock,
                eraListener,
                outageListener,
                () -> ContactRole.INDEPENDENT);
    }

    /** Creates a feed whose waits depend on the role of this gateway; see the other constructor. */
    ObjectFeed(
            Vertx vertx,
            PlatformStore store,
            ObjectKind kind,
            FeedTiming timing,
            FeedListener listener,
            RandomGenerator random,
            FeedClocks clock,
            LongConsumer eraListener,
            Consumer<StoreOutage> outageListener,
            Supplier<ContactRole> role) {
        this.vertx = vertx;
        this.store = store;
        this.kind = kind;
        this.timing = timing;
        this.listener = listener;
        this.clock = clock;
        this.eraListener = eraListener;
        this.outageListener = outageListener;
        this.contact = new StoreContact(random);
        this.log = new FeedLog(LOG, kind);
        this.history = new ObjectHistory(timing.retentionMs());
        this.coverage = new ChangeCoverage(timing.maxWaitMs() + RESPONSE_MARGIN_MS);
        this.confirmations = new FeedConfirmations(vertx, clock.monotonic(), this::check);
        this.waits = new FeedWaits(timing, role);
        this.failures = new FeedFailures(contact, waits, confirmations, clock, log);
        this.budget = budgetOf(kind);
        this.objects = new FeedObjects(kind, history, listener, clock.monotonic(), log, budget);
    }

    private static ContentBudget budgetOf(ObjectKind kind) {
        return kind.isSingleObject()
                ? ContentBudget.UNLIMITED
                : new ContentBudget(Runtime.getRuntime().maxMemory() / HEAP_PARTS_OF_CONTENT);
    }

    /** Starts with a list request. */
    public void start() {
        listAnew();
    }

    /**
     * Lists the kind anew if the store was restored since the last response, without waiting for the next one.
     *
     * @param era the store's era, as another feed learned it
     */
    void noteEra(long era) {
        boolean listed = !history.revision().equals(StoreRevision.NONE);
        if (listed && history.revision().era() < era && !stopped) {
            listAnew();
        }
    }

    /**
     * Replaces a watch that may have been lost in an outage, without waiting until it times out, or sends the request
     * that is delayed after a failure.
     *
     * @param outage an outage that another feed noticed
     */
    void noteOutage(StoreOutage outage) {
        if (retryDelayed && !stopped) {
            round++;
            retry();
            return;
        }
        boolean mayBeLost = !listing && contact.available() && contact.lastResponseMs() < outage.lastFailureMs();
        if (mayBeLost && !stopped) {
            Optional<PendingWatch> replaced = pendingWatch;
            check();
            replaced.ifPresent(watch -> watch.cancel().run());
        }
    }

    /**
     * Takes note of what another gateway reported of its contact with the store.
     *
     * @param report the report
     * @param asked when the other gateway was asked
     */
    void noteReport(ContactReport report, ClockReading asked) {
        report.kinds().stream().filter(contact -> contact.kind() == kind).forEach(contact -> {
            ClockReading confirmed = asked.plusMs(-contact.ageMs());
            waits.recordReport(report.revision(contact), confirmed, history.revision(), clock.read());
        });
    }

    /** Replaces a long watch that may have gone silent. */
    void checkWait() {
        if (!waitingLong || listing || stopped) {
            return;
        }
        waits.checkReason(clock.read()).ifPresent(reason -> {
            log.info("long_watch_replaced", history.revision(), "reason", reason);
            check();
        });
    }

    /** Returns how old the knowledge of this kind is, in milliseconds; empty before the first list. */
    Optional<Long> ageMs() {
        return waits.ageMs(clock.read());
    }

    /** Returns what is reported to other gateways, empty while the state of the store is not certain. */
    Optional<ContactReport.KindContact> report() {
        return !listing && contact.available() ? waits.report(kind, clock.read()) : Optional.empty();
    }

    /** Stops the feed when the current request has completed. */
    public void stop() {
        stopped = true;
    }

    /**
     * Asks the store for the changes up to now and applies them.
     *
     * @return how long all changes are known without a gap, in milliseconds; fails if the store does not respond soon
     */
    Future<Long> confirm() {
        return confirmations.request();
    }

    /** Returns the revision up to which all changes are applied. */
    StoreRevision revision() {
        return history.revision();
    }

    /** Adds known time before the first list to the coverage, unless that does not reach back to it. */
    boolean addEarlierCoverage(long earlierMs) {
        return coverage.addEarlier(earlierMs);
    }

    /**
     * Replaces the current watch by one that returns at once; if the history is lost, the list that follows confirms as
     * well. Fails while a list is in progress, since it may have begun before the request.
     */
    private void check() {
        if (stopped || listing) {
            confirmations.fail(outdated("no watch is in progress"));
            return;
        }
        Optional<PendingWatch> replaced = pendingLongWatch();
        round++;
        watch(CHECK_WAIT_MS);
        replaced.ifPresent(watch -> watch.cancel().run());
    }

    /** Returns the watch that would hold its connection for a long time if it were left behind. */
    private Optional<PendingWatch> pendingLongWatch() {
        return waitingLong ? pendingWatch : Optional.empty();
    }

    /** Starts a list from its first page; responses and timers of earlier requests are ignored from now on. */
    private void listAnew() {
        round++;
        pendingLongWatch().ifPresent(watch -> watch.cancel().run());
        waitingLong = false;
        retryDelayed = false;
        listing = true;
        listSent = clock.read();
        list(new PartialList(budget));
    }

    private void list(PartialList listed) {
        contact.recordRequest(clock.nowMs());
        store.list(kind, listed.lastName())
                .onSuccess(inRound(page -> handlePage(listed, page)))
                .onFailure(inRound(this::handleFailure));
    }

    private <T> Handler<T> inRound(Handler<T> handler) {
        long current = round;
        return value -> {
            if (current == round) {
                handleSafely(handler, value);
            }
        };
    }

    /** Goes on with the next request if a listener fails, as the feed would end otherwise. */
    private <T> void handleSafely(Handler<T> handler, T value) {
        try {
            handler.handle(value);
        } catch (RuntimeException | OutOfMemoryError failure) {
            handleFailure(failure);
        }
    }

    private void handlePage(PartialList listed, ObjectPage page) {
        if (!listed.add(page, objects::isKnown)) {
            handleFailure(historyLost("the store was restored between two pages of a list"));
        } else if (page.hasMore() && page.entries().isEmpty()) {
            handleFailure(outdated("a page names no object after which the list goes on"));
        } else if (page.hasMore()) {
            list(listed);
        } else if (listed.revision().precedes(history.revision())) {
            refuse(listed);
        } else {
            accept(listed);
            watch();
        }
    }

    private void refuse(PartialList listed) {
        log.warn(
                "list_refused",
                listed.revision(),
                "known_era",
                history.revision().era(),
                "known_revision",
                history.revision().revision());
        handleFailure(outdated("the list is older than the last known revision"));
    }

    private void accept(PartialList listed) {
        noteRestore(listed.revision());
        markStoreAvailable();
        coverage.recordList(listSent, clock.read());
        waits.recordList(listed.revision(), listSent);
        List<ObjectWrite> writes =
                listed.entries().stream().map(ObjectEntry::write).toList();
        ListVerdict verdict = history.acceptList(listed.revision(), writes, clock.nowMs());
        log.info(
                "objects_listed",
                listed.revision(),
                "objects",
                writes.size(),
                "retained",
                verdict.retained(),
                "reappeared",
                verdict.reappeared());
        if (listed.droppedContents() > 0) {
            log.warn("contents_dropped", listed.revision(), "objects", listed.droppedContents());
        }
        objects.replace(listed.entries(), verdict);
        confirmations.complete(coverage.coveredMs());
        eraListener.accept(listed.revision().era());
    }

    /** Treats a restore of the store like the end of an outage, since the connection may have survived it. */
    private void noteRestore(StoreRevision listRevision) {
        boolean known = !history.revision().equals(StoreRevision.NONE);
        if (known && listRevision.isOfLaterEra(history.revision())) {
            contact.recordRestore();
            log.warn(
                    "store_restored",
                    listRevision,
                    "known_era",
                    history.revision().era(),
                    "known_revision",
                    history.revision().revision());
        }
    }

    /**
     * Returns the kind of the objects.
     *
     * @return the kind
     */
    ObjectKind kind() {
        return kind;
    }

    /** Returns what was confirmed before the store was restored and is not written again yet, if anything. */
    Optional<ConfirmedObjects> confirmed() {
        return objects.confirmed();
    }

    /** Takes over what was confirmed to another gateway, unless this feed has listed the restored store. */
    void learn(ConfirmedObjects confirmed) {
        objects.learn(confirmed);
    }

    private void watch() {
        if (stopped) {
            return;
        }
        if (!contact.available()) {
            // A request that waits for changes would be given up late if it is lost as well.
            watch(CHECK_WAIT_MS);
            return;
        }
        long nextListMs = history.nextListMs(clock.nowMs());
        if (history.settling() && nextListMs == 0) {
            listAnew();
            return;
        }
        watch(history.settling() ? (int) Math.min(timing.waitMs(), nextListMs) : waits.nextMs(clock.read()));
    }

    private void watch(int waitMs) {
        listing = false;
        retryDelayed = false;
        waitingLong = waitMs > timing.maxWaitMs();
        ClockReading sent = clock.read();
        contact.recordRequest(clock.nowMs());
        PendingWatch watch = store.watch(kind, history.revision().revision(), waitMs);
        pendingWatch = Optional.of(watch);
        watch.changes()
                .onSuccess(inRound(changes -> handleChanges(changes, sent, waitMs)))
                .onFailure(inRound(this::handleFailure));
    }

    private void handleChanges(ObjectChanges changes, ClockReading sent, int waitMs) {
        waitingLong = false;
        if (changes.revision().isOfLaterEra(history.revision())) {
            handleFailure(historyLost("the store was restored"));
            return;
        }
        if (history.revision().isOfLaterEra(changes.revision())) {
            handleFailure(outdated("the changes are of an earlier era"));
            return;
        }
        markStoreAvailable();
        contact.resetBackoff();
        changes.changes().forEach(objects::apply);
        history.advance(changes.revision());
        // The store returns no changes only after the whole wait, but some as soon as there are any.
        ClockReading validUntil = changes.changes().isEmpty() ? sent.plusMs(waitMs) : sent;
        coverage.recordChanges(validUntil);
        waits.recordChanges(changes, sent, earlier(validUntil, clock.read()));
        confirmations.complete(coverage.coveredMs());
        int batchDelayMs = timing.batchDelayMs().getAsInt();
        if (changes.changes().isEmpty() || batchDelayMs == 0) {
            watch();
        } else {
            vertx.setTimer(batchDelayMs, inRound(fired -> watch()));
        }
    }

    /** Returns the earlier moment, as a store that ends a wait early proves nothing of the rest of it. */
    private static ClockReading earlier(ClockReading one, ClockReading other) {
        return one.monotonicMs() <= other.monotonicMs() ? one : other;
    }

    private static ServingException historyLost(String detail) {
        return ServingException.notRun(ErrorCode.HISTORY_LOST, detail);
    }

    private static ServingException outdated(String detail) {
        return ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, detail);
    }

    private void markStoreAvailable() {
        contact.recordResponse(clock.nowMs()).ifPresent(outage -> {
            log.info("store_available", history.revision(), "silent_ms", clock.nowMs() - outage.lastResponseMs());
            listener.storeAvailable(outage);
            outageListener.accept(outage);
        });
    }

    private void handleFailure(Throwable cause) {
        waitingLong = false;
        retryLater(failures.record(cause, history.revision()));
    }

    private void retryLater(boolean historyLost) {
        if (stopped) {
            return;
        }
        boolean listed = !history.revision().equals(StoreRevision.NONE);
        relist = historyLost || !listed;
        retryDelayed = true;
        RetryBackoff backoff = RetryBackoff.of(timing.maxWaitMs(), listed);
        vertx.setTimer(contact.nextDelayMs(historyLost, backoff), inRound(fired -> retry()));
    }

    private void retry() {
        if (relist) {
            listAnew();
        } else {
            watch();
        }
    }
}
