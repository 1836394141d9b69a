package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.suspect.SuspectTracker;
import org.pimentovale.kernel.quarantine.SuspectKey;

/** Passes the stored quarantined keys to the tracker of suspects. Not thread safe; used on one event loop. */
final class QuarantineListener implements FeedListener {
    private final ObjectReader reader;
    private final RejectedObjects rejectedObjects;
    private final SuspectTracker suspects;
    private final Runnable onListed;
    private final Map<String, SuspectKey> keys = new HashMap<>();

    QuarantineListener(
            ObjectReader reader, RejectedObjects rejectedObjects, SuspectTracker suspects, Runnable onListed) {
        this.reader = reader;
        this.rejectedObjects = rejectedObjects;
        this.suspects = suspects;
        this.onListed = onListed;
    }

    @Override
    public void listed(List<ObjectEntry> entries, Set<String> retained) {
        keys.keySet().retainAll(retained);
        List<SuspectKey> listed = new ArrayList<>();
        for (ObjectEntry entry : entries) {
            decode(entry).ifPresent(key -> {
                keys.put(entry.name(), key);
                listed.add(key);
            });
        }
        suspects.storedKeysListed(listed);
        onListed.run();
    }

    @Override
    public void changed(ObjectEntry entry) {
        Optional<SuspectKey> changed = decode(entry);
        Optional<SuspectKey> previous = Optional.ofNullable(keys.remove(entry.name()));
        previous.filter(key -> changed.stream().noneMatch(key::equals)).ifPresent(suspects::storedKeyRemoved);
        changed.ifPresent(key -> {
            keys.put(entry.name(), key);
            suspects.storedKeyAdded(key);
        });
    }

    @Override
    public void removed(ObjectEntry entry) {
        Optional.ofNullable(keys.remove(entry.name())).or(() -> decode(entry)).ifPresent(suspects::storedKeyRemoved);
    }

    @Override
    public void reappeared(ObjectEntry entry) {
        decode(entry).ifPresent(suspects::storedKeyReappeared);
    }

    private Optional<SuspectKey> decode(ObjectEntry entry) {
        return rejectedObjects.decode(
                ObjectKind.QUARANTINES,
                entry,
                object -> reader.quarantine(object.value().parse()));
    }
}
