package org.pimentovale.gateway.rollout;

import io.vertx.core.Vertx;
import java.util.List;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.rollout.ReportPeriod;
import org.pimentovale.kernel.rollout.ReportSchedule;
import org.pimentovale.kernel.rollout.RolloutState;

/** Sends this gateway's reports on one order when they are due. Not thread safe; used on one event loop. */
final class ReportTimer {
    private static final long NO_TIMER = -1;
    // The first report of a later phase makes the decider announce it, so that the reports of the others are not sent.
    private static final double PHASE_SPREAD_MS = 500;

    /** Sends a report to the decider. */
    @FunctionalInterface
    interface Sender {
        /** Sends a report on an order, before its turn or regularly. */
        void send(RolloutState state, boolean early);
    }

    private final Vertx vertx;
    private final GatewayTables tables;
    private final RolloutState state;
    private final Sender sender;
    private final ReportSchedule schedule;
    private final double spread;
    private long timer = NO_TIMER;
    private boolean waitsForPhase;

    /**
     * Creates a timer whose first report is due at a time within the period that differs among the gateways.
     *
     * @param vertx runs the timer
     * @param tables the gateway's state
     * @param state the order
     * @param sender sends a report to the decider
     */
    ReportTimer(Vertx vertx, GatewayTables tables, RolloutState state, Sender sender) {
        this.vertx = vertx;
        this.tables = tables;
        this.state = state;
        this.sender = sender;
        List<String> names = tables.peers().names().stream().sorted().toList();
        this.spread = (double) names.indexOf(tables.peers().self().name()) / names.size();
        this.schedule = new ReportSchedule(spread, period(), tables.nowMs());
    }

    private ReportPeriod period() {
        return new ReportPeriod(tables.peers().names().size());
    }

    boolean reportsOn(RolloutState other) {
        return state == other;
    }

    /** Sends the regular report if it is due. To be called several times within a period. */
    void reportIfDue() {
        if (schedule.isDue(tables.nowMs())) {
            cancel();
            schedule.recordRegular(period(), tables.nowMs());
            sender.send(state, false);
        }
    }

    /** Sends a report as soon as the schedule allows it, unless one is waiting or the regular one comes before. */
    void reportSoon() {
        start(0);
    }

    /** Sends a report soon because the decider does not know the phase, unless it learns the phase before. */
    void reportPhase() {
        if (timer == NO_TIMER) {
            start(period().isExtended() ? (long) (spread * PHASE_SPREAD_MS) : 0);
            waitsForPhase = timer != NO_TIMER;
        }
    }

    private void start(long minDelayMs) {
        if (timer == NO_TIMER || waitsForPhase) {
            cancel();
            schedule.earlyWaitMs(period(), tables.nowMs())
                    .ifPresent(waitMs ->
                            timer = vertx.setTimer(Math.max(1, Math.max(minDelayMs, waitMs)), fired -> sendEarly()));
        }
    }

    /** Records that the decider knows the phase. */
    void phaseKnown() {
        if (waitsForPhase) {
            cancel();
        }
    }

    private void sendEarly() {
        cancel();
        schedule.recordEarly(period(), tables.nowMs());
        sender.send(state, true);
    }

    void cancel() {
        if (timer != NO_TIMER) {
            vertx.cancelTimer(timer);
            timer = NO_TIMER;
        }
        waitsForPhase = false;
    }
}
