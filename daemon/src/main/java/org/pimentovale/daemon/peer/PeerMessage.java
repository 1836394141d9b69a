package org.pimentovale.daemon.peer;

import java.util.List;
import java.util.Optional;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.membership.Member;

/**
 * A message between instances; an empty one is a heartbeat. Immutable and thread safe.
 *
 * @param from the sender
 * @param epoch how often the sender has refuted its death
 * @param revision the revision in force at the sender
 * @param warm endpoints that became warm
 * @param losses endpoints that were lost while a request ran
 * @param joined members that the sender learnt of
 * @param gone members that left or stopped answering
 */
public record PeerMessage(
        Member from,
        long epoch,
        long revision,
        List<EndpointIncarnation> warm,
        List<Loss> losses,
        List<Joined> joined,
        List<Gone> gone) {
    /**
     * An endpoint that was lost while a request ran.
     *
     * @param fingerprint the request's fingerprint
     * @param endpoint address and incarnation of the endpoint
     */
    public record Loss(String fingerprint, String endpoint) {}

    /**
     * A member that lives.
     *
     * @param member the member
     * @param epoch the epoch in which it lives
     */
    public record Joined(Member member, long epoch) {}

    /**
     * A member that left or stopped answering.
     *
     * @param name its name
     * @param epoch the epoch in which it is dead
     */
    public record Gone(String name, long epoch) {}

    /**
     * The answer to a message.
     *
     * @param revision the revision in force at the receiver
     * @param deadEpoch the epoch in which the receiver holds the sender for dead, so that the sender can refute it
     */
    public record Receipt(long revision, Optional<Long> deadEpoch) {}

    /**
     * Tells whether all parts are present.
     *
     * @return false where the message is malformed
     */
    public boolean complete() {
        return from != null
                && from.name() != null
                && from.peerAddress() != null
                && warm != null
                && losses != null
                && joined != null
                && gone != null;
    }
}
