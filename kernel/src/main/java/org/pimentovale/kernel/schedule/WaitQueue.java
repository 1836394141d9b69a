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
    private final Map<Urgency, LinkedHashMap<String, Deque<Ticket>>> queuesByUrgency = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Integer> credits = new EnumMap<>(Urgency.class);
    private int size;

    WaitQueue() {
        for (Urgency urgency : Urgency.values()) {
            queuesByUrgency.put(urgency, new LinkedHashMap<>());
            credits.put(urgency, 0);
        }
    }

    int size() {
        return size;
    }

    void add(Ticket ticket) {
        workspaceQueues(ticket)
                .computeIfAbsent(ticket.attempt().workspace(), unused -> new ArrayDeque<>())
                .addLast(ticket);
        size++;
    }

    boolean remove(Ticket ticket) {
        Deque<Ticket> tickets = workspaceQueues(ticket).get(ticket.attempt().workspace());
        if (tickets == null || !tickets.remove(ticket)) {
            return false;
        }
        removeIfEmpty(ticket, tickets);
        size--;
        return true;
    }

    /** Returns how many tickets are served before a new one of a workspace and class, by weights and fair sharing. */
    int countAhead(StageAttempt attempt) {
        Map<String, Deque<Ticket>> classQueues = queuesByUrgency.get(attempt.urgency());
        Deque<Ticket> ownQueue = classQueues.get(attempt.workspace());
        int ownLength = ownQueue == null ? 0 : ownQueue.size();
        int aheadInClass = 0;
        for (Deque<Ticket> tickets : classQueues.values()) {
            aheadInClass += Math.min(tickets.size(), ownLength + 1);
        }
        int ahead = aheadInClass;
        for (Urgency other : Urgency.values()) {
            if (other != attempt.urgency()) {
                ahead += Math.min(
                        count(other),
                        (aheadInClass + 1) * other.weight() / attempt.urgency().weight());
            }
        }
        return ahead;
    }

    /** Returns the newest ticket of the workspace that has most tickets waiting in the least urgent busy class. */
    Optional<Ticket> evictionCandidate() {
        for (Urgency urgency : Urgency.leastUrgentFirst()) {
            Deque<Ticket> longest = null;
            for (Deque<Ticket> tickets : queuesByUrgency.get(urgency).values()) {
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
            if (!queuesByUrgency.get(urgency).isEmpty()) {
                order.add(urgency);
                credits.merge(urgency, urgency.weight(), Integer::sum);
            }
        }
        order.sort((left, right) -> Integer.compare(credits.get(right), credits.get(left)));
        int totalWeight = order.stream().mapToInt(Urgency::weight).sum();
        for (Urgency urgency : order) {
            Optional<Ticket> found = pollClass(urgency, condition);
            if (found.isPresent()) {
                credits.merge(urgency, -totalWeight, Integer::sum);
                return found;
            }
        }
        order.forEach(urgency -> credits.merge(urgency, -urgency.weight(), Integer::sum));
        return Optional.empty();
    }

    private Optional<Ticket> pollClass(Urgency urgency, Predicate<Ticket> condition) {
        LinkedHashMap<String, Deque<Ticket>> workspaceQueues = queuesByUrgency.get(urgency);
        for (String workspace : List.copyOf(workspaceQueues.keySet())) {
            Deque<Ticket> tickets = workspaceQueues.get(workspace);
            Ticket head = tickets.getFirst();
            if (condition.test(head)) {
                tickets.removeFirst();
                size--;
                workspaceQueues.remove(workspace);
                if (!tickets.isEmpty()) {
                    workspaceQueues.put(workspace, tickets);
                }
                return Optional.of(head);
            }
        }
        return Optional.empty();
    }

    /** Removes and returns every ticket that satisfies a condition. */
    List<Ticket> removeAll(Predicate<Ticket> condition) {
        List<Ticket> removed = new ArrayList<>();
        for (LinkedHashMap<String, Deque<Ticket>> workspaceQueues : queuesByUrgency.values()) {
            Iterator<Deque<Ticket>> iterator = workspaceQueues.values().iterator();
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
        return queuesByUrgency.get(urgency).values().stream().mapToInt(Deque::size).sum();
    }

    private Map<String, Deque<Ticket>> workspaceQueues(Ticket ticket) {
        return queuesByUrgency.get(ticket.attempt().urgency());
    }

    private void removeIfEmpty(Ticket ticket, Deque<Ticket> tickets) {
        if (tickets.isEmpty()) {
            workspaceQueues(ticket).remove(ticket.attempt().workspace());
        }
    }
}
