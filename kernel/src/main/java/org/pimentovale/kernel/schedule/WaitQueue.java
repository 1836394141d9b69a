package org.pimentovale.kernel.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.pimentovale.table.Urgency;

/**
 * Work that waits for an endpoint: urgency classes by smooth weighted round robin, workspaces of a class in turn.
 *
 * <p>Invariant: every class with waiting work gets its weight's share of the grants, so that none waits for ever. Not
 * thread safe; guarded by the scheduler's lock.
 */
final class WaitQueue {
    private final Map<Urgency, LinkedHashMap<String, Deque<Ticket>>> classes = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Integer> credits = new EnumMap<>(Urgency.class);
    private int size;

    WaitQueue() {
        for (Urgency urgency : Urgency.values()) {
            classes.put(urgency, new LinkedHashMap<>());
            credits.put(urgency, 0);
        }
    }

    int size() {
        return size;
    }

    void add(Ticket ticket) {
        workspaces(ticket)
                .computeIfAbsent(ticket.work().workspace(), unused -> new ArrayDeque<>())
                .addLast(ticket);
        size++;
    }

    boolean remove(Ticket ticket) {
        Deque<Ticket> tickets = workspaces(ticket).get(ticket.work().workspace());
        if (tickets == null || !tickets.remove(ticket)) {
            return false;
        }
        removeIfEmpty(ticket, tickets);
        size--;
        return true;
    }

    /** Returns how many tickets are served before a new one of a workspace and class, by weights and fair sharing. */
    int ahead(StageWork work) {
        Map<String, Deque<Ticket>> peers = classes.get(work.urgency());
        Deque<Ticket> own = peers.get(work.workspace());
        int ownLength = own == null ? 0 : own.size();
        int same = 0;
        for (Deque<Ticket> tickets : peers.values()) {
            same += Math.min(tickets.size(), ownLength + 1);
        }
        int ahead = same;
        for (Urgency other : Urgency.values()) {
            if (other != work.urgency()) {
                ahead += Math.min(
                        count(other),
                        (same + 1) * other.weight() / work.urgency().weight());
            }
        }
        return ahead;
    }

    /** Returns the newest ticket of the workspace that has most tickets waiting in the least urgent busy class. */
    Optional<Ticket> mostCrowding() {
        for (Urgency urgency : Urgency.leastUrgentFirst()) {
            Deque<Ticket> longest = null;
            for (Deque<Ticket> tickets : classes.get(urgency).values()) {
                if (longest == null || tickets.size() > longest.size()) {
                    longest = tickets;
                }
            }
            if (longest != null) {
                return Optional.of(longest.getLast());
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the next ticket that satisfies a condition. */
    Optional<Ticket> poll(Predicate<Ticket> condition) {
        List<Urgency> order = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            if (!classes.get(urgency).isEmpty()) {
                order.add(urgency);
                credits.merge(urgency, urgency.weight(), Integer::sum);
            }
        }
        order.sort((left, right) -> Integer.compare(credits.get(right), credits.get(left)));
        int total = order.stream().mapToInt(Urgency::weight).sum();
        for (Urgency urgency : order) {
            Optional<Ticket> found = pollClass(urgency, condition);
            if (found.isPresent()) {
                credits.merge(urgency, -total, Integer::sum);
                return found;
            }
        }
        order.forEach(urgency -> credits.merge(urgency, -urgency.weight(), Integer::sum));
        return Optional.empty();
    }

    private Optional<Ticket> pollClass(Urgency urgency, Predicate<Ticket> condition) {
        LinkedHashMap<String, Deque<Ticket>> workspaces = classes.get(urgency);
        for (String workspace : List.copyOf(workspaces.keySet())) {
            Deque<Ticket> tickets = workspaces.get(workspace);
            Ticket head = tickets.getFirst();
            if (condition.test(head)) {
                tickets.removeFirst();
                size--;
                workspaces.remove(workspace);
                if (!tickets.isEmpty()) {
                    workspaces.put(workspace, tickets);
                }
                return Optional.of(head);
            }
        }
        return Optional.empty();
    }

    /** Removes and returns every ticket that satisfies a condition. */
    List<Ticket> removeAll(Predicate<Ticket> condition) {
        List<Ticket> removed = new ArrayList<>();
        for (LinkedHashMap<String, Deque<Ticket>> workspaces : classes.values()) {
            Iterator<Deque<Ticket>> iterator = workspaces.values().iterator();
            while (iterator.hasNext()) {
                Deque<Ticket> tickets = iterator.next();
                tickets.removeIf(ticket -> condition.test(ticket) && removed.add(ticket));
                if (tickets.isEmpty()) {
                    iterator.remove();
                }
            }
        }
        size -= removed.size();
        return removed;
    }

    private int count(Urgency urgency) {
        return classes.get(urgency).values().stream().mapToInt(Deque::size).sum();
    }

    private Map<String, Deque<Ticket>> workspaces(Ticket ticket) {
        return classes.get(ticket.work().urgency());
    }

    private void removeIfEmpty(Ticket ticket, Deque<Ticket> tickets) {
        if (tickets.isEmpty()) {
            workspaces(ticket).remove(ticket.work().workspace());
        }
    }
}
