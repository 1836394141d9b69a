package org.pimentovale.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import org.pimentovale.gateway.port.CallerAttempt;
import org.pimentovale.hash.Sha256;
import org.pimentovale.kernel.placement.PromptPart;
import org.pimentovale.kernel.quarantine.LostRequest;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.RequestRouting.RoutedRequest;

/**
 * A caller's request with its route.
 *
 * @param attempt the decoded headers
 * @param method the HTTP method
 * @param uri path and query, as the caller sent them
 * @param headers the caller's headers
 * @param content returns what is received of the body, empty if the request has none
 * @param routed the route, the service and the workspace
 * @param arrivedMs the time when the head was received, in milliseconds of the monotonic clock
 * @param deadlineMs the earlier of the caller's deadline and the route's timeout, in milliseconds of the same clock
 */
public record CallerRequest(
        CallerAttempt attempt,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Supplier<Optional<Buffer>> content,
        RoutedRequest routed,
        long arrivedMs,
        long deadlineMs) {
    /**
     * Returns the body, which is whole once the request has been read.
     *
     * @return what is received of the body, empty if the request has none
     */
    public Optional<Buffer> body() {
        return content.get();
    }

    /**
     * Tells whether the response is a stream of events.
     *
     * @return whether the route's kind is {@link RequestKind#STREAMING}
     */
    public boolean isStream() {
        return routed.route().kind() == RequestKind.STREAMING;
    }

    /**
     * Tells whether the request begins a stream that a later request can take up.
     *
     * @return whether the route allows that and the request does not take up a stream itself
     */
    public boolean beginsResumableStream() {
        return isStream() && routed.route().resumable() && attempt.resumed().isEmpty();
    }

    /**
     * Returns the time by which the response meets the route's latency goal.
     *
     * @return milliseconds of the monotonic clock
     */
    public long goalTimeMs() {
        return arrivedMs + routed.route().goalMs();
    }

    /**
     * Returns the size of the request, which is comparable among requests of one route.
     *
     * @return the tokens of the prompt, or the bytes of the body if the caller states no prompt
     */
    public long workSize() {
        return attempt.prompt().isEmpty()
                ? body().map(Buffer::length).orElse(0)
                : attempt.prompt().stream().mapToLong(PromptPart::tokens).sum();
    }

    /**
     * Returns an identifier that is equal for all attempts of the same request, at whichever gateway they arrive.
     *
     * @return the hexadecimal SHA-256 of method, URI, caller's key and body
     */
    public String fingerprint() {
        String head = method + " " + uri + " " + attempt.key().orElse("") + "\n";
        return Sha256.hex(
                head.getBytes(StandardCharsets.UTF_8),
                body().map(Buffer::getBytes).orElse(new byte[0]));
    }

    /**
     * Returns what identifies this request if its endpoint is lost.
     *
     * @return the fingerprint and the shared prompt parts
     */
    public LostRequest lostRequest() {
        return new LostRequest(fingerprint(), attempt.sharedParts());
    }
}
