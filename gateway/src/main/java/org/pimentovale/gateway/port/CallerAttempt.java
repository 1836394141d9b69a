package org.pimentovale.gateway.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.kernel.placement.PromptPart;

/**
 * The attributes of a request that its caller sends as headers.
 *
 * @param identifier identifies this attempt of the caller
 * @param deadlineMs time until the caller's deadline, in milliseconds; empty if the caller sets none
 * @param key the caller's API key, empty if there is none
 * @param pieceCounts the number of pieces of each stage, in the order of the stages
 * @param pieceKey identifies the input of the first stages
 * @param prompt the parts of the prompt, in order; the last is specific to this request
 * @param resumed the stream of which the caller has events already, empty if it has none
 * @param tokenUsage the tokens that the request needs, empty if the caller does not state them
 */
public record CallerAttempt(
        String identifier,
        OptionalLong deadlineMs,
        Optional<String> key,
        List<Integer> pieceCounts,
        Optional<String> pieceKey,
        List<PromptPart> prompt,
        Optional<ResumedStream> resumed,
        Optional<TokenUsage> tokenUsage) {
    /**
     * A stream that the caller takes up again.
     *
     * @param firstAttempt the identifier of the attempt that brought its first event, empty if the caller names none
     */
    public record ResumedStream(Optional<String> firstAttempt) {}

    /**
     * The tokens that a request needs in the memory of an engine.
     *
     * @param prompt the tokens of the prompt
     * @param output the most tokens of the response
     */
    public record TokenUsage(long prompt, long output) {}

    /** Copies the lists. */
    public CallerAttempt {
        pieceCounts = List.copyOf(pieceCounts);
        prompt = List.copyOf(prompt);
    }

    /**
     * Returns the prompt parts that other requests may share.
     *
     * @return the identifiers of all parts but the last, in the order of the prompt
     */
    public List<String> sharedParts() {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(PromptPart::identifier)
                .toList();
    }

    /**
     * Returns the tokens that the request may occupy in the memory of an engine.
     *
     * @return the tokens that the caller states, otherwise those of its prompt parts, zero if it states neither
     */
    public long tokens() {
        return tokenUsage
                .map(usage -> usage.prompt() + usage.output())
                .orElseGet(() -> prompt.stream().mapToLong(PromptPart::tokens).sum());
    }

    /**
     * Returns the last part of the longest prompt prefix that other requests may share.
     *
     * @return the last shared part, empty if the prompt has fewer than two parts
     */
    public Optional<PromptPart> sharedPrefix() {
        return prompt.size() < 2 ? Optional.empty() : Optional.of(prompt.get(prompt.size() - 2));
    }

    /**
     * Returns the longest prompt prefix that other requests may share, with all its tokens.
     *
     * @return the identifier of its last part and the tokens of all shared parts; empty if the prompt has fewer than
     *     two parts
     */
    public Optional<PromptPart> wholeSharedPrefix() {
        long tokens = prompt.stream().mapToLong(PromptPart::tokens).sum();
        return sharedPrefix().map(last -> {
            long shared = tokens - prompt.get(prompt.size() - 1).tokens();
            return new PromptPart(last.identifier(), (int) Math.min(Integer.MAX_VALUE, shared));
        });
    }
}
