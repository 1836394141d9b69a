package org.pimentovale.kernel.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * The claims that the attempts of this instance wrote last, which it writes again if a restored store has lost them.
 *
 * <p>Invariants: at most {@link #MAX_CLAIMS} claims, the least recently written removed first; at most
 * {@link #MAX_BODY_CHARACTERS} of body each. Thread safe; it acquires no other lock.
 */
public final class RememberedClaims {
    /** Maximum number of claims. */
    public static final int MAX_CLAIMS = 4_096;

    /** Maximum length of a remembered response body; a longer one is left out. */
    public static final int MAX_BODY_CHARACTERS = 2_048;

    private static final Comparator<RememberedClaim> NEWEST_FIRST = Comparator.comparing(
                    RememberedClaim::revision,
                    Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::revision))
            .reversed();

    private final Map<String, RememberedClaim> claims = new LinkedHashMap<>();

    /**
     * A claim of an attempt of this instance.
     *
     * @param name name of the claim
     * @param revision revision of its last confirmed write, {@link #UNCONFIRMED} if the store has not confirmed it
     * @param claim the claim, without a long body
     */
    public record RememberedClaim(String name, StoreRevision revision, ClaimRecord claim) {
        /** Follows all revisions of all stores. */
        public static final StoreRevision UNCONFIRMED = new StoreRevision(Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /**
     * Remembers a claim before or after the store has confirmed it.
     *
     * @param name name of the claim
     * @param revision revision of the confirmed write, or {@link RememberedClaim#UNCONFIRMED}
     * @param claim the claim
     */
    public synchronized void remember(String name, StoreRevision revision, ClaimRecord claim) {
        claims.remove(name);
        claims.put(name, new RememberedClaim(name, revision, withoutLongBody(claim)));
        if (claims.size() > MAX_CLAIMS) {
            claims.remove(claims.keySet().iterator().next());
        }
    }

    private static ClaimRecord withoutLongBody(ClaimRecord claim) {
        return claim.body().filter(body -> body.length() > MAX_BODY_CHARACTERS).isPresent()
                ? claim.withState(claim.state(), claim.status(), Optional.empty())
                : claim;
    }

    /**
     * Records that the store has confirmed a write, unless another state has been remembered since.
     *
     * @param name name of the claim
     * @param revision revision of the write
     * @param claim the written claim
     */
    public synchronized void confirm(String name, StoreRevision revision, ClaimRecord claim) {
        claims.computeIfPresent(
                name,
                (key, known) -> known.claim().equals(withoutLongBody(claim))
                        ? new RememberedClaim(name, revision, known.claim())
                        : known);
    }

    /**
     * Returns all claims.
     *
     * @return the unconfirmed claims, then the others, the latest revision first
     */
    public synchronized List<RememberedClaim> newestFirst() {
        List<RememberedClaim> sorted = new ArrayList<>(claims.values());
        sorted.sort(NEWEST_FIRST);
        return sorted;
    }
}
