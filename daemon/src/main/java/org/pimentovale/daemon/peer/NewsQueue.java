package org.pimentovale.daemon.peer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.membership.Member;

/**
 * News that wait for the next message to other instances.
 *
 * <p>Invariant: an item that was queued within the memory's size is not queued again, so that rumours end. Thread safe;
 * its lock is a leaf.
 */
final class NewsQueue {
    private static final int MEMORY = 4_096;

    private final Set<Object> seen = new LinkedHashSet<>();
    private List<EndpointIncarnation> warm = new ArrayList<>();
    private List<PeerNews.Loss> losses = new ArrayList<>();
    private List<PeerNews.Joined> joined = new ArrayList<>();
    private List<PeerNews.Gone> gone = new ArrayList<>();

    synchronized boolean add(EndpointIncarnation item) {
        return remember(item) && warm.add(item);
    }

    synchronized boolean add(PeerNews.Loss item) {
        return remember(item) && losses.add(item);
    }

    synchronized boolean add(PeerNews.Joined item) {
        return remember(item) && joined.add(item);
    }

    synchronized boolean add(PeerNews.Gone item) {
        return remember(item) && gone.add(item);
    }

    private boolean remember(Object item) {
        boolean unknown = seen.add(item);
        if (seen.size() > MEMORY) {
            seen.remove(seen.iterator().next());
        }
        return unknown;
    }

    /** Returns everything that waits, and forgets it. */
    synchronized PeerNews take(Member from, long epoch, long revision) {
        PeerNews news = new PeerNews(from, epoch, revision, warm, losses, joined, gone);
        warm = new ArrayList<>();
        losses = new ArrayList<>();
        joined = new ArrayList<>();
        gone = new ArrayList<>();
        return news;
    }
}
