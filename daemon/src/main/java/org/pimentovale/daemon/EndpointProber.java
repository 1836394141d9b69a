package org.pimentovale.daemon;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import org.pimentovale.daemon.endpoint.EndpointConnectionPool;
import org.pimentovale.daemon.endpoint.EndpointConnectionPool.Preference;
import org.pimentovale.daemon.endpoint.LoadProbe;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.probe.ProbeSchedule;
import org.pimentovale.kernel.schedule.PoolScheduler;

/**
 * Probes the endpoints of this instance's subsets within a budget, and holds a connection to each, whose end tells at
 * once that the endpoint went away. Withdrawn endpoints are in no subset and are not probed. Not thread safe; used on
 * one event loop.
 */
final class EndpointProber {
    private static final int TICK_PERIOD_MS = 10;
    private static final int PROBE_INTERVAL_MS = 1_000;
    private static final int URGENT_PROBE_INTERVAL_MS = 150;

    private final Vertx vertx;
    private final ServingTables tables;
    private final EndpointConnectionPool connections;
    private final ProbeSchedule schedule;
    private final Set<String> probesInProgress = new HashSet<>();

    EndpointProber(Vertx vertx, ServingTables tables, LoadProbe loadProbe, int probesPerSecond) {
        this.vertx = vertx;
        this.tables = tables;
        this.connections = new EndpointConnectionPool(vertx, loadProbe, tables);
        this.schedule = new ProbeSchedule(probesPerSecond, PROBE_INTERVAL_MS, URGENT_PROBE_INTERVAL_MS);
    }

    void start() {
        vertx.setPeriodic(TICK_PERIOD_MS, fired -> probeNext());
    }

    private void probeNext() {
        Set<String> endpoints = new HashSet<>();
        for (PoolScheduler scheduler : tables.schedulers()) {
            scheduler.processQueue();
            endpoints.addAll(scheduler.subset());
        }
        endpoints.removeAll(probesInProgress);
        Set<String> urgentEndpoints = tables.warmth().unverified();
        tables.warmth().coldEndpoints().stream()
                .map(EndpointIncarnation::address)
                .forEach(urgentEndpoints::add);
        schedule.next(endpoints, urgentEndpoints, tables.clock().nowMs()).ifPresent(this::probe);
    }

    private void probe(String address) {
        probesInProgress.add(address);
        connections.probe(address, Preference.ANY).onComplete(result -> probesInProgress.remove(address));
    }
}
