package org.pimentovale.gateway.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.kernel.placement.PromptPart;

/**
 * What a caller's headers say of a request.
 *
 * @param identifier names this attempt of the caller
 * @param deadlineMs how long the caller waits, in milliseconds
 * @param key the caller's key
 * @param pieceCounts the number of pieces of each stage, in the order of the stages
 * @param pieceKey names what the first stages work on
 * @param prompt the parts of the prompt, in order; the last belongs to the request itself
 */
public record CallerAttempt(
        String identifier,
        OptionalLong deadlineMs,
        Optional<String> key,
        List<Integer> pieceCounts,
        Optional<String> pieceKey,
        List<PromptPart> prompt) {
    /** Copies the lists. */
    public CallerAttempt {
        pieceCounts = List.copyOf(pieceCounts);
        prompt = List.copyOf(prompt);
    }

    /**
     * Returns the longest beginning of the prompt that other requests may share.
     *
     * @return the last shared part, or empty
     */
    public Optional<PromptPart> sharedPrefix() {
        return prompt.size() < 2 ? Optional.empty() : Optional.of(prompt.get(prompt.size() - 2));
    }
}
