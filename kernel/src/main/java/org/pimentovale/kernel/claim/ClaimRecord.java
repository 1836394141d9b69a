package org.pimentovale.kernel.claim;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * The stored claim of an idempotency key. Immutable and thread safe.
 *
 * <p>Invariant: a claim that was taken stays with its attempt until that attempt's owner releases it; time alone never
 * frees it.
 *
 * @param schema the version of this layout
 * @param attempt names the attempt that holds the claim
 * @param owner the entry instance that runs the attempt
 * @param state how far the attempt is
 * @param digest fingerprint of the request, so that a key is not used for another one
 * @param status the HTTP status that the service answered, zero before that
 * @param body the service's answer
 */
public record ClaimRecord(
        int schema, String attempt, String owner, ClaimState state, String digest, int status, Optional<String> body) {
    /** The layout that this program reads and writes. */
    public static final int SCHEMA = 1;

    /**
     * Reads a stored claim.
     *
     * @param bytes the stored value
     * @return the claim
     * @throws ServingException with {@link ErrorCode#OBJECT_DAMAGED} where it cannot be read
     */
    public static ClaimRecord parse(byte[] bytes) {
        ClaimRecord claim = Json.read(bytes, ClaimRecord.class);
        if (claim.schema != SCHEMA || claim.state == null || claim.attempt == null || claim.digest == null) {
            throw ServingException.unknown(ErrorCode.OBJECT_DAMAGED, "claim of schema " + claim.schema);
        }
        return claim;
    }

    /**
     * Returns this claim in another state.
     *
     * @param newState the state
     * @param newStatus the service's HTTP status, zero for none
     * @param newBody the service's answer
     * @return the changed claim, of the same attempt
     */
    public ClaimRecord withState(ClaimState newState, int newStatus, Optional<String> newBody) {
        return new ClaimRecord(schema, attempt, owner, newState, digest, newStatus, newBody);
    }
}
