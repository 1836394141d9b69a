package org.pimentovale.gateway.warmup;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.PendingWatch;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.StoredContent;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.stream.HistoryCheckpoint;

/**
 * An in-memory store for the warm-up: a fixed configuration with its endpoints, and the gateways that register.
 *
 * <p>Not thread safe; used on one event loop.
 */
final class JitWarmupStore implements PlatformStore, ObjectReader {
    private static final String CONFIGURATION_NAME = "rehearsal";

    private final ServingConfiguration configuration;
    private final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();
    private final Map<String, InstanceRecord> instances = new LinkedHashMap<>();
    private final List<Promise<ObjectChanges>> instanceWatches = new ArrayList<>();
    private long revision = 1;

    JitWarmupStore(ServingConfiguration configuration, List<EndpointRecord> endpoints) {
        this.configuration = configuration;
        endpoints.forEach(endpoint -> this.endpoints.put(endpoint.identifier(), endpoint));
    }

    @Override
    public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
        List<String> names =
                switch (kind) {
                    case CONFIGURATION -> List.of(CONFIGURATION_NAME);
                    case ENDPOINTS -> List.copyOf(endpoints.keySet());
                    case WITHDRAWN_ZONES, QUARANTINES, ROLLOUTS -> List.of();
                    case INSTANCES -> List.copyOf(instances.keySet());
                };
        return Future.succeededFuture(
                new ObjectPage(names.stream().map(this::entry).toList(), false, new StoreRevision(0, revision)));
    }

    @Override
    public PendingWatch watch(ObjectKind kind, long behind, int waitMs) {
        Promise<ObjectChanges> changes = Promise.promise();
        if (kind == ObjectKind.INSTANCES) {
            instanceWatches.add(changes);
        }
        return PendingWatch.of(changes.future());
    }

    @Override
    public Future<Void> register(InstanceRecord instance) {
        revision++;
        instances.put(instance.name(), instance);
        ObjectChanges change = new ObjectChanges(
                List.of(new ObjectChanges.Change(entry(instance.name()), false)), new StoreRevision(0, revision));
        List<Promise<ObjectChanges>> watches = List.copyOf(instanceWatches);
        instanceWatches.clear();
        watches.forEach(watch -> watch.complete(change));
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> deregister(String name) {
        instances.remove(name);
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> storeCheckpoint(HistoryCheckpoint checkpoint) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Optional<HistoryCheckpoint>> readCheckpoint() {
        return Future.succeededFuture(Optional.empty());
    }

    @Override
    public Future<Void> storeQuarantine(SuspectKey key) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> removeQuarantine(SuspectKey key) {
        return Future.succeededFuture();
    }

    private ObjectEntry entry(String name) {
        return new ObjectEntry(name, new StoreRevision(0, revision), Optional.empty(), StoredContent.MISSING);
    }

    @Override
    public String configurationName() {
        return CONFIGURATION_NAME;
    }

    @Override
    public ServingConfiguration configuration(JsonNode value) {
        return configuration;
    }

    @Override
    public EndpointRecord endpoint(String name, JsonNode value) {
        return endpoints.get(name);
    }

    @Override
    public SuspectKey quarantine(JsonNode value) {
        throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "no keys are quarantined");
    }

    @Override
    public RolloutOrder rollout(String name, JsonNode value, long orderRevision) {
        throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "no roll-outs are ordered");
    }

    @Override
    public InstanceRecord instance(String name, JsonNode value) {
        return Optional.ofNullable(instances.get(name))
                .orElseThrow(() -> ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "the instance has left"));
    }
}
