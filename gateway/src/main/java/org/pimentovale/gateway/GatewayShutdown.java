package org.pimentovale.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.caller.CallerListener;
import org.pimentovale.gateway.caller.GatewayState;
import org.pimentovale.gateway.feed.InstanceRegistration;
import org.pimentovale.gateway.feed.StoreSynchronizer;
import org.pimentovale.gateway.stage.StageDispatchers;
import org.pimentovale.log.Events;

/**
 * Shuts a gateway down gracefully. It reports not ready and waits for the running requests. It serves those that still
 * arrive if they are expected to end in time, and refuses the others at once. When the load balancer has noticed, it
 * closes idle connections. Not thread safe; used on one event loop.
 */
final class GatewayShutdown {
    private static final Logger LOG = Logger.getLogger(Gateway.class);
    private static final int DRAIN_CHECK_INTERVAL_MS = 50;
    // The load balancer sends requests until its readiness checks have failed.
    private static final int LOAD_BALANCER_REACTION_MS = 2_600;
    // Is left of the shutdown time for the end of the process, which is killed after it.
    private static final int EXIT_MARGIN_MS = 900;
    // For the last responses to be written.
    private static final int LAST_RESPONSES_MS = 20;

    private final Vertx vertx;
    private final int timeoutMs;
    private final GatewayTables tables;
    private final GatewayState state;
    private final StageDispatchers stageDispatchers;
    private final CallerListener callerListener;
    private final InstanceRegistration registration;
    private final StoreSynchronizer synchronizer;
    private final GatewayServers servers;

    GatewayShutdown(
            Vertx vertx,
            int timeoutMs,
            GatewayTables tables,
            GatewayState state,
            StageDispatchers stageDispatchers,
            CallerListener callerListener,
            InstanceRegistration registration,
            StoreSynchronizer synchronizer,
            GatewayServers servers) {
        this.vertx = vertx;
        this.timeoutMs = timeoutMs;
        this.tables = tables;
        this.state = state;
        this.stageDispatchers = stageDispatchers;
        this.callerListener = callerListener;
        this.registration = registration;
        this.synchronizer = synchronizer;
        this.servers = servers;
    }

    /** Starts the shutdown; completes once nothing runs or the shutdown time is over. */
    Future<Void> drain() {
        Promise<Void> drained = Promise.promise();
        long startedMs = tables.nowMs();
        long durationMs = timeoutMs - EXIT_MARGIN_MS;
        state.shutdown().endAt(startedMs + durationMs);
        tables.peers().startDraining();
        if (tables.peers().anyOtherResponsive()) {
            stageDispatchers.failAllUnstarted();
        }
        callerListener.startDraining();
        Events.info(
                LOG,
                "drain_started",
                "running",
                state.runningCount(),
                "tickets",
                stageDispatchers.openTickets(),
                "connections",
                callerListener.connectionCount(),
                "left_ms",
                durationMs);
        registration.deregister();
        vertx.setPeriodic(
                DRAIN_CHECK_INTERVAL_MS, timer -> checkDrained(timer, startedMs, startedMs + durationMs, drained));
        return drained.future();
    }

    private void checkDrained(long timer, long startedMs, long endMs, Promise<Void> drained) {
        long elapsedMs = tables.nowMs() - startedMs;
        state.refuseTooLate();
        stageDispatchers.failAllUnfinishable(endMs);
        boolean balancerNoticed = elapsedMs >= LOAD_BALANCER_REACTION_MS;
        if (balancerNoticed) {
            callerListener.closeIdleConnections();
        }
        boolean idle = balancerNoticed && state.runningCount() == 0 && stageDispatchers.openTickets() == 0;
        if (idle || tables.nowMs() >= endMs) {
            vertx.cancelTimer(timer);
            state.shutdown().endAt(tables.nowMs());
            state.abandonAll();
            Events.info(LOG, "drain_ended", "running", state.runningCount(), "elapsed_ms", elapsedMs);
            synchronizer.stop();
            servers.stopAccepting(timeoutMs);
            vertx.setTimer(LAST_RESPONSES_MS, fired -> drained.tryComplete());
        }
    }
}
