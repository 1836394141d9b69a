package org.pimentovale.gateway.peer;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.stage.StageClient;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingService;

/**
 * Which services have an owner, and whether work of this gateway depends on one.
 *
 * <p>Not thread safe; used on one event loop.
 */
public final class OwnerUse {
    private final GatewayTables tables;
    private final StageClient stages;
    private final BooleanSupplier busy;
    private final Supplier<List<String>> decisionKeys;

    /**
     * Creates the view.
     *
     * @param tables the configuration, the endpoints and the gateways
     * @param stages knows the stages that wait at owners
     * @param busy tells whether callers' requests are in progress
     * @param decisionKeys returns the keys whose owners decide on roll-outs in progress, or did not respond on hedges
     */
    public OwnerUse(
            GatewayTables tables, StageClient stages, BooleanSupplier busy, Supplier<List<String>> decisionKeys) {
        this.tables = tables;
        this.stages = stages;
        this.busy = busy;
        this.decisionKeys = decisionKeys;
    }

    /**
     * Returns what has one owner among the gateways: services whose stages are queued or whose permits are granted,
     * roll-outs in progress, and hedges whose owner did not respond.
     *
     * @return the names of the services and the keys of roll-outs and hedges
     */
    public Set<String> ownedKeys() {
        Set<String> names = servicesWithLimit();
        names.addAll(decisionKeys.get());
        tables.configuration().map(ServingConfiguration::services).ifPresent(services -> services.stream()
                .filter(service -> service.pieces().isPresent())
                .map(ServingService::name)
                .forEach(names::add));
        return names;
    }

    private Set<String> servicesWithLimit() {
        return tables.endpoints().allEndpoints().stream()
                .filter(endpoint -> endpoint.requestLimit().isPresent())
                .map(endpoint -> endpoint.latest().service())
                .collect(Collectors.toCollection(HashSet::new));
    }

    /**
     * Tells whether running work of this gateway waits for an owner of stages or may need permits of it, or whether the
     * owner decides on a roll-out or on hedges.
     *
     * @param owner the owner
     * @return whether a loss of the owner must be noticed soon
     */
    public boolean dependsOn(InstanceRecord owner) {
        return stages.hasWorkAt(owner.name())
                || owns(owner, decisionKeys.get())
                || (busy.getAsBoolean() && owns(owner, servicesWithLimit()));
    }

    private boolean owns(InstanceRecord owner, Collection<String> keys) {
        return keys.stream().anyMatch(key -> tables.peers().owner(key).equals(Optional.of(owner)));
    }
}
