package org.pimentovale.daemon.caller;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.table.Configuration;

/**
 * Whether this instance takes new requests, and how many it runs.
 *
 * <p>Invariants: an instance that must stop first says that it is not ready, and refuses only after the balancer's lag;
 * running requests are never refused. Thread safe; its lock is a leaf but for reads of the configuration.
 */
public final class InstanceState {
    private final ServingTables tables;
    private final MonotonicClock clock;
    private final long balancerLagMs;
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean isolated;
    private volatile boolean draining;
    private volatile long notReadySinceMs = Long.MAX_VALUE;
    private volatile int callerPort;

    /**
     * Creates the state of an instance that takes requests.
     *
     * @param tables the shared tables
     * @param balancerLagMs time that the balancer takes to notice a change, in milliseconds
     */
    public InstanceState(ServingTables tables, long balancerLagMs) {
        this.tables = tables;
        this.clock = tables.clock();
        this.balancerLagMs = balancerLagMs;
    }

    /**
     * Returns why the balancer should send no new requests.
     *
     * @return the reason, or empty while the instance is ready
     */
    public Optional<ErrorCode> readinessObjection() {
        Optional<Configuration> inForce = tables.configuration().active();
        if (inForce.isEmpty()) {
            return Optional.of(ErrorCode.NOT_CONFIGURED);
        }
        if (isolated) {
            return Optional.of(ErrorCode.INSTANCE_ISOLATED);
        }
        String zone = tables.members().self().zone();
        if (draining || !inForce.get().isZoneInService(zone)) {
            return Optional.of(ErrorCode.INSTANCE_DRAINING);
        }
        return Optional.empty();
    }

    /**
     * Returns why a request that arrives now is refused.
     *
     * @return the reason, or empty where it is taken
     */
    public Optional<ErrorCode> admissionObjection() {
        Optional<ErrorCode> objection = readinessObjection();
        if (objection.isEmpty()) {
            notReadySinceMs = Long.MAX_VALUE;
            return objection;
        }
        if (objection.get() != ErrorCode.INSTANCE_DRAINING) {
            return objection;
        }
        long nowMs = clock.nowMs();
        if (notReadySinceMs == Long.MAX_VALUE) {
            notReadySinceMs = nowMs;
        }
        return nowMs - notReadySinceMs < balancerLagMs ? Optional.empty() : objection;
    }

    /**
     * Records whether this instance is cut off from the platform and from all others.
     *
     * @param cutOff whether it is
     */
    public void setIsolated(boolean cutOff) {
        isolated = cutOff;
    }

    /** Begins the shutdown: not ready from now on. */
    public void drain() {
        draining = true;
        notReadySinceMs = Math.min(notReadySinceMs, clock.nowMs());
    }

    /**
     * Tells whether the shutdown has begun.
     *
     * @return whether it has
     */
    public boolean draining() {
        return draining;
    }

    /** Counts a request that began. */
    public void requestStarted() {
        running.incrementAndGet();
    }

    /** Counts a request that ended. */
    public void requestEnded() {
        running.decrementAndGet();
    }

    /**
     * Returns the number of running requests.
     *
     * @return the number
     */
    public int running() {
        return running.get();
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
