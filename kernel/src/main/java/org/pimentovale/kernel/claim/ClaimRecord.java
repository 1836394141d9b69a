package org.pimentovale.kernel.claim;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * The stored claim of an idempotency key. Immutable and thread safe.
 *
 * <p>Invariant: a claim stays with its attempt until the owner of the attempt releases it; claims do not expire.
 *
 * @param schema version of the stored layout
 * @param attempt identifier of the attempt that holds the claim
 * @param owner name of the entry instance that runs the attempt
 * @param state progress of the attempt
 * @param digest fingerprint of the request, to detect reuse of a key for a different request
 * @param status HTTP status of the service's response, zero before there is one
 * @param body body of the service's response, empty before there is one
 */
public record ClaimRecord(
        int schema, String attempt, String owner, ClaimState state, String digest, int status, Optional<String> body) {
    /** The version of the stored layout that this program reads and writes. */
    public static final int SCHEMA = 1;

    /**
     * Reads a stored claim.
     *
     * @param bytes the stored value as JSON
     * @return the claim
     * @throws ServingException with {@link ErrorCode#OBJECT_DAMAGED} if the value cannot be parsed, its schema is not
     *     {@link #SCHEMA} or a required field is missing
     */
    public static ClaimRecord parse(byte[] bytes) {
        ClaimRecord claim = Json.read(bytes, ClaimRecord.class);
        if (claim.schema != SCHEMA || claim.state == null || claim.attempt == null || claim.digest == null) {
            throw ServingException.unknown(ErrorCode.OBJECT_DAMAGED, "invalid claim record of schema " + claim.schema);
        }
        return claim;
    }

    /**
     * Returns a copy of this claim in another state, held by the same attempt.
     *
     * @param newState the new state
     * @param newStatus HTTP status of the service's response, zero for none
     * @param newBody body of the service's response
     * @return the copy
     */
    public ClaimRecord withState(ClaimState newState, int newStatus, Optional<String> newBody) {
        return new ClaimRecord(schema, attempt, owner, newState, digest, newStatus, newBody);
    }

    /**
     * Tells whether this record is to replace another one of the same key that a restored store holds. The attempt of
     * this record may have run, or it has confirmed that it did not.
     *
     * @param stored the stored record
     * @return false if the stored record is a later one of the same attempt, or if replacing it could let the key run
     *     again or hide that another attempt ran
     */
    public boolean supersedes(ClaimRecord stored) {
        if (stored.attempt.equals(attempt)) {
            return stored.state == ClaimState.CLAIMED && state != ClaimState.CLAIMED;
        }
        return !state.claimable() && (stored.state.claimable() || stored.state == ClaimState.CLAIMED);
    }

    /**
     * Tells whether another record is of the same attempt in the same state.
     *
     * @param stored the other record
     * @return whether the other record shows that this one was written
     */
    public boolean confirmedBy(ClaimRecord stored) {
        return stored.attempt.equals(attempt) && stored.state == state;
    }
}
