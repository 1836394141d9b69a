package org.pimentovale.daemon.caller;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.table.Configuration;

/**
 * Readiness of this instance for new requests, and the number of requests it is running.
 *
 * <p>Invariants: an instance that drains reports first that it is not ready, and refuses requests only after the load
 * balancer has had time to notice; running requests are never refused. Thread safe; it has no lock of its own.
 */
public final class InstanceState {
    private final ServingTables tables;
    private final MonotonicClock clock;
    private final long balancerLagMs;
    private final AtomicInteger runningCount = new AtomicInteger();
    private volatile boolean isolated;
    private volatile boolean draining;
    private volatile long notReadySinceMs = Long.MAX_VALUE;
    private volatile int callerPort;

    /**
     * Creates the state of an instance that accepts requests.
     *
     * @param tables shared tables, for the active configuration and this instance's zone
     * @param balancerLagMs time that the load balancer needs to notice a change of readiness, in milliseconds
     */
    public InstanceState(ServingTables tables, long balancerLagMs) {
        this.tables = tables;
        this.clock = tables.clock();
        this.balancerLagMs = balancerLagMs;
    }

    /**
     * Returns why the load balancer should not send new requests.
     *
     * @return the reason, or empty while the instance is ready
     */
    public Optional<ErrorCode> notReadyReason() {
        Optional<Configuration> active = tables.configuration().active();
        if (active.isEmpty()) {
            return Optional.of(ErrorCode.NOT_CONFIGURED);
        }
        if (isolated) {
            return Optional.of(ErrorCode.INSTANCE_ISOLATED);
        }
        String zone = tables.members().self().zone();
        if (draining || !active.get().isZoneInService(zone)) {
            return Optional.of(ErrorCode.INSTANCE_DRAINING);
        }
        return Optional.empty();
    }

    /**
     * Returns why a request that arrives now is refused. A draining instance accepts requests for the time that the
     * load balancer needs to notice.
     *
     * @return the reason, or empty if the request is accepted
     */
    public Optional<ErrorCode> refusalReason() {
        Optional<ErrorCode> reason = notReadyReason();
        if (reason.isEmpty()) {
            notReadySinceMs = Long.MAX_VALUE;
            return reason;
        }
        if (reason.get() != ErrorCode.INSTANCE_DRAINING) {
            return reason;
        }
        long nowMs = clock.nowMs();
        if (notReadySinceMs == Long.MAX_VALUE) {
            notReadySinceMs = nowMs;
        }
        return nowMs - notReadySinceMs < balancerLagMs ? Optional.empty() : reason;
    }

    /**
     * Records whether this instance can reach neither the platform's store nor any other instance.
     *
     * @param isIsolated true if neither can be reached
     */
    public void setIsolated(boolean isIsolated) {
        isolated = isIsolated;
    }

    /** Starts the shutdown: the instance is not ready from now on. */
    public void startDraining() {
        draining = true;
        notReadySinceMs = Math.min(notReadySinceMs, clock.nowMs());
    }

    /**
     * Tells whether the shutdown has started.
     *
     * @return true after {@link #startDraining}
     */
    public boolean draining() {
        return draining;
    }

    /** Counts the start of a request. */
    public void requestStarted() {
        runningCount.incrementAndGet();
    }

    /** Counts the end of a request. */
    public void requestEnded() {
        runningCount.decrementAndGet();
    }

    /**
     * Returns the number of running requests.
     *
     * @return requests that were accepted and have not ended
     */
    public int runningCount() {
        return runningCount.get();
    }

    /**
     * Records the port on which callers are served.
     *
     * @param port the TCP port
     */
    public void setCallerPort(int port) {
        callerPort = port;
    }

    /**
     * Returns the port on which callers are served.
     *
     * @return the TCP port, zero before the listener is open
     */
    public int callerPort() {
        return callerPort;
    }
}
