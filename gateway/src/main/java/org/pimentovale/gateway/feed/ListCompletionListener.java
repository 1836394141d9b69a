package org.pimentovale.gateway.feed;

import java.util.List;
import java.util.Set;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.kernel.history.StoreOutage;

/** Passes everything on to another listener, and reports each list after that. Not thread safe. */
final class ListCompletionListener implements FeedListener {
    private final FeedListener listener;
    private final Runnable onListed;

    ListCompletionListener(FeedListener listener, Runnable onListed) {
        this.listener = listener;
        this.onListed = onListed;
    }

    @Override
    public void listed(List<ObjectEntry> entries, Set<String> retained) {
        listener.listed(entries, retained);
        onListed.run();
    }

    @Override
    public void changed(ObjectEntry entry) {
        listener.changed(entry);
    }

    @Override
    public void removed(ObjectEntry entry) {
        listener.removed(entry);
    }

    @Override
    public void reappeared(ObjectEntry entry) {
        listener.reappeared(entry);
    }

    @Override
    public void storeAvailable(StoreOutage outage) {
        listener.storeAvailable(outage);
    }
}
