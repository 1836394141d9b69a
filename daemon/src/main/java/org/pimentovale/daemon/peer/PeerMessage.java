package org.pimentovale.daemon.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.membership.Member;

/**
 * A message between instances; one without notifications is a heartbeat. Immutable and thread safe.
 *
 * @param from the sender's registration
 * @param epoch the sender's epoch: the number of times it has refuted a report that it is dead
 * @param revision the revision of the sender's active configuration
 * @param warm endpoints that became warm
 * @param losses endpoints that were lost while a request was running on them
 * @param joined members that became live
 * @param gone members that left or stopped responding
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
     * The loss of an endpoint while a request was running on it.
     *
     * @param fingerprint the request's fingerprint
     * @param endpoint address and incarnation of the endpoint
     */
    public record Loss(String fingerprint, String endpoint) {}

    /**
     * A live member.
     *
     * @param member the member's registration
     * @param epoch the epoch in which it is live
     */
    public record Joined(Member member, long epoch) {}

    /**
     * A member that left or stopped responding.
     *
     * @param name the member's name
     * @param epoch the epoch in which it is dead
     */
    public record Gone(String name, long epoch) {}

    /**
     * The response to a message.
     *
     * @param revision the revision of the receiver's active configuration
     * @param deadEpoch the epoch in which the receiver considers the sender dead, so that the sender can refute it
     */
    public record Receipt(long revision, Optional<Long> deadEpoch) {}

    /**
     * The state of an instance after a restore of the store.
     *
     * @param era the era in which the instance has written its claims again, zero if there was none
     */
    public record WrittenClaims(long era) {}

    /**
     * Tells whether all required fields are present.
     *
     * @return false if the message is malformed
     */
    public boolean complete() {
        return from != null
                && from.name() != null
                && from.peerAddress() != null
                && Stream.of(warm, losses, joined, gone).allMatch(PeerMessage::hasAllElements);
    }

    private static boolean hasAllElements(List<?> list) {
        return list != null && list.stream().noneMatch(Objects::isNull);
    }
}
