package org.pimentovale.kernel.quarantine;

import java.util.ArrayList;
import java.util.List;

/**
 * Identifies what requests have in common that may crash the endpoints running them. Immutable and thread safe.
 *
 * @param kind what the identifier stands for
 * @param identifier the fingerprint of a request, or the identifier of a prompt part
 */
public record SuspectKey(Kind kind, String identifier) {
    /** The kinds of keys. */
    public enum Kind {
        /** All attempts of the same request. */
        REQUEST,
        /** All requests whose prompt contains a part that requests can share. */
        PROMPT_PART
    }

    /**
     * Returns the key of a request.
     *
     * @param fingerprint the request's fingerprint
     * @return the key
     */
    public static SuspectKey request(String fingerprint) {
        return new SuspectKey(Kind.REQUEST, fingerprint);
    }

    /**
     * Returns the key of a prompt part.
     *
     * @param part the identifier of the part
     * @return the key
     */
    public static SuspectKey promptPart(String part) {
        return new SuspectKey(Kind.PROMPT_PART, part);
    }

    /**
     * Returns the keys of a request that was lost with its endpoint.
     *
     * @param request the request
     * @return the keys of its shared prompt parts in the order of the prompt, followed by the key of the request
     */
    static List<SuspectKey> of(LostRequest request) {
        List<SuspectKey> keys = new ArrayList<>();
        request.sharedParts().forEach(part -> keys.add(promptPart(part)));
        keys.add(request(request.fingerprint()));
        return keys;
    }
}
