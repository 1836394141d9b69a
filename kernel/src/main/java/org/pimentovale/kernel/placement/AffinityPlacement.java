package org.pimentovale.kernel.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Chooses the endpoint that probably keeps the shared part of a prompt, unless another one finishes earlier although it
 * has to read the part again.
 *
 * <p>Weighted rendezvous hashing makes an endpoint the first for a share of all parts that is proportional to its
 * capacity, independent of the instance that asks. It is intended for loads under which a few parts occur in many
 * requests: these overflow to the next endpoints in the order of the part's hash, which then cache the part too.
 * Stateless and thread safe.
 */
final class AffinityPlacement {
    // Bounds the endpoints over which a part spreads, since each of them has to read it once.
    private static final int MAX_CANDIDATES = 8;

    private AffinityPlacement() {}

    /**
     * Chooses among the first endpoints in the order of the part's hash.
     *
     * @param predicted all candidates
     * @param elsewhere the candidate that would be chosen without a shared part
     * @param part the shared part
     * @param request the request
     * @return the first that does not finish later than the candidate elsewhere, empty if none of the first does
     */
    static Optional<Placement> choose(
            List<Placement> predicted, Placement elsewhere, PromptPart part, PlacementRequest request) {
        double workMs = request.workMs();
        double rereadMs = part.tokens() * request.msPerToken();
        FinishPrediction other = elsewhere.prediction();
        double limitMs = other.finish() * workMs + other.presentWorkTimeFactor() * rereadMs;
        return predicted.stream()
                .sorted(Comparator.comparingDouble(placement -> position(part, placement)))
                .limit(MAX_CANDIDATES)
                .filter(placement -> placement.prediction().finish() * workMs <= limitMs)
                .findFirst()
                .map(placement ->
                        new Placement(placement.endpoint(), Placement.Basis.AFFINITY, placement.prediction()));
    }

    /** Returns the position in the order of the part's hash; capacity brings it forward. */
    private static double position(PromptPart part, Placement placement) {
        EndpointRecord endpoint = placement.endpoint().latest();
        FinishPrediction prediction = placement.prediction();
        return -Math.log(RendezvousHash.uniform(part.identifier(), endpoint.identifier()))
                * prediction.workTimeFactor()
                / prediction.slots();
    }
}
