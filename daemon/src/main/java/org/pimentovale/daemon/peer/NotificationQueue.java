package org.pimentovale.daemon.peer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.membership.Member;

/**
 * Notifications that wait for the next message to other instances.
 *
 * <p>Invariant: an item is not queued again while it is among the {@link #MAX_SEEN_ITEMS} items seen last, so that
 * instances do not forward it to each other endlessly. Thread safe; it takes no other lock while it holds its own.
 */
final class NotificationQueue {
    private static final int MAX_SEEN_ITEMS = 4_096;

    private final Set<Object> seen = new LinkedHashSet<>();
    private List<EndpointIncarnation> warm = new ArrayList<>();
    private List<PeerMessage.Loss> losses = new ArrayList<>();
    private List<PeerMessage.Joined> joined = new ArrayList<>();
    private List<PeerMessage.Gone> gone = new ArrayList<>();

    synchronized boolean add(EndpointIncarnation item) {
        return markSeen(item) && warm.add(item);
    }

    synchronized boolean add(PeerMessage.Loss item) {
        return markSeen(item) && losses.add(item);
    }

    synchronized boolean add(PeerMessage.Joined item) {
        return markSeen(item) && joined.add(item);
    }

    synchronized boolean add(PeerMessage.Gone item) {
        return markSeen(item) && gone.add(item);
    }

    private boolean markSeen(Object item) {
        boolean isNew = seen.add(item);
        if (seen.size() > MAX_SEEN_ITEMS) {
            seen.remove(seen.iterator().next());
        }
        return isNew;
    }

    /** Removes all waiting notifications and returns them as a message. */
    synchronized PeerMessage drain(Member from, long epoch, long revision) {
        PeerMessage message = new PeerMessage(from, epoch, revision, warm, losses, joined, gone);
        warm = new ArrayList<>();
        losses = new ArrayList<>();
        joined = new ArrayList<>();
        gone = new ArrayList<>();
        return message;
    }
}
