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
 * Components shared by all requests of an instance. Immutable; thread safe, since its components are.
 *
 * @param vertx runs timers
 * @param settings settings of the daemon
 * @param tables schedulers, warmth, suspects and configuration
 * @param claimLedger claims idempotency keys
 * @param suspectPermits grants permits to run suspect requests
 * @param protocols protocols for calling endpoints, by name
 * @param metrics metrics of this instance
 * @param trace keeps the latest events of recent requests
 * @param endpointNotifier notifies other instances of warm and lost endpoints
 * @param fencingTokens provides the fencing tokens of warm-up leases
 * @param random source of random identifiers; thread safe
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
