package org.pimentovale.gateway.hedge;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.pimentovale.kernel.hedge.HedgeShare;

/**
 * The reports of this gateway on the hedges of one service: when the latest were sent, which is on its way, and which
 * requests wait for a permit. Not thread safe; used on one event loop.
 */
final class ServiceReports {
    private static final long NO_TIMER = -1;

    private final HedgeShare share;
    private List<Promise<Void>> waiting = new ArrayList<>();
    private int asked;
    private boolean underWay;
    private long regularTimer = NO_TIMER;
    private long askTimer = NO_TIMER;
    private long latestRegularMs = Long.MIN_VALUE / 2;
    private long latestAskMs = Long.MIN_VALUE / 2;
    private int failures;
    private long failingSinceMs;
    private long latestFailureMs;
    private boolean ownerLost;

    ServiceReports(HedgeShare share) {
        this.share = share;
    }

    HedgeShare share() {
        return share;
    }

    /** Returns what completes when the next report has been answered or has failed. */
    Future<Void> await() {
        Promise<Void> answered = Promise.promise();
        waiting.add(answered);
        return answered.future();
    }

    boolean anyWaiting() {
        return !waiting.isEmpty();
    }

    /** Marks a report as under way, and returns what completes the requests that wait for it. */
    Runnable start() {
        List<Promise<Void>> answered = waiting;
        waiting = new ArrayList<>();
        asked = answered.size();
        underWay = true;
        return () -> answered.forEach(Promise::complete);
    }

    /** Returns the number of requests that wait for the report under way. */
    int asked() {
        return asked;
    }

    boolean underWay() {
        return underWay;
    }

    void end() {
        underWay = false;
    }

    boolean regularScheduled() {
        return regularTimer != NO_TIMER;
    }

    void setRegularTimer(long timer) {
        regularTimer = timer;
    }

    void endRegularTimer(long nowMs) {
        regularTimer = NO_TIMER;
        latestRegularMs = nowMs;
    }

    long latestRegularMs() {
        return latestRegularMs;
    }

    boolean askScheduled() {
        return askTimer != NO_TIMER;
    }

    void setAskTimer(long timer) {
        askTimer = timer;
    }

    void endAskTimer() {
        askTimer = NO_TIMER;
    }

    long latestAskMs() {
        return latestAskMs;
    }

    void setLatestAskMs(long nowMs) {
        latestAskMs = nowMs;
    }

    void recordResponse() {
        failures = 0;
        ownerLost = false;
    }

    void recordFailure(long nowMs) {
        if (failures == 0) {
            failingSinceMs = nowMs;
        }
        failures++;
        latestFailureMs = nowMs;
    }

    int failures() {
        return failures;
    }

    /** Tells whether the latest report has failed after a given time. */
    boolean failedSince(long timeMs) {
        return failures > 0 && latestFailureMs > timeMs;
    }

    long failingSinceMs() {
        return failingSinceMs;
    }

    void loseOwner() {
        ownerLost = true;
    }

    /** Tells whether the owner has not responded for so long that this gateway uses its own quota. */
    boolean ownerLost() {
        return ownerLost;
    }

    void cancelTimers(Vertx vertx) {
        vertx.cancelTimer(regularTimer);
        vertx.cancelTimer(askTimer);
    }
}
