package org.pimentovale.daemon.peer;

import java.util.List;
import org.pimentovale.kernel.endpoint.WarmEndpoint;
import org.pimentovale.kernel.membership.Member;

/**
 * A message between instances; an empty one is a heartbeat. Immutable and thread safe.
 *
 * @param from the sender
 * @param revision the revision in force at the sender
 * @param warm endpoints that became warm
 * @param losses endpoints that were lost while a request ran
 * @param joined members that the sender learnt of
 * @param gone names of members that left or stopped answering
 */
public record PeerNews(
        Member from,
        long revision,
        List<WarmEndpoint> warm,
        List<Loss> losses,
        List<Member> joined,
        List<String> gone) {
    /**
     * An endpoint that was lost while a request ran.
     *
     * @param fingerprint the request's fingerprint
     * @param endpoint address and incarnation of the endpoint
     */
    public record Loss(String fingerprint, String endpoint) {}

    /**
     * The answer to a message.
     *
     * @param from the receiver
     * @param revision the revision in force at the receiver
     */
    public record Receipt(Member from, long revision) {}

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
