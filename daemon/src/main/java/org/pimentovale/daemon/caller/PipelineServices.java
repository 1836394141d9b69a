package org.pimentovale.daemon.caller;

import io.vertx.core.Vertx;
import java.util.random.RandomGenerator;
import org.pimentovale.daemon.claim.ClaimLedger;
import org.pimentovale.daemon.log.RequestTrace;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.daemon.protocol.StageProtocol;
import org.pimentovale.daemon.settings.DaemonSettings;
import org.pimentovale.daemon.suspect.SuspectPermits;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.plugin.PluginRegistry;

/**
 * What all requests of an instance share. Immutable, and thread safe since its parts are.
 *
 * @param vertx runs timers
 * @param settings the daemon's settings
 * @param tables the shared tables
 * @param claimLedger claims idempotency keys
 * @param suspectPermits permits suspected requests
 * @param protocols the ways to call endpoints
 * @param metrics counts
 * @param trace keeps the latest events
 * @param endpointNotifier is told what other instances should learn
 * @param fencingTokens gives the numbers of warm-up leases
 * @param random the source of identifiers; thread safe
 */
public record PipelineServices(
        Vertx vertx,
        DaemonSettings settings,
        ServingTables tables,
        ClaimLedger claimLedger,
        SuspectPermits suspectPermits,
        PluginRegistry<StageProtocol> protocols,
        DaemonMetrics metrics,
        RequestTrace trace,
        EndpointNotifier endpointNotifier,
        FencingTokenSource fencingTokens,
        RandomGenerator random) {}
