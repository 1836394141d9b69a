package org.pimentovale.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.pimentovale.gateway.port.CallerAttempt;
import org.pimentovale.kernel.serving.RequestRouting.RoutedRequest;

/**
 * A whole request of a caller, with what serves it.
 *
 * @param attempt what its headers say
 * @param method the method
 * @param uri path and query, as the caller sent them
 * @param headers the caller's headers
 * @param body the body, empty for none
 * @param routed the route, the service and the workspace
 * @param arrivedMs when its first bytes came, in milliseconds
 * @param deadlineMs when the caller gives up or the operators do, whichever is first
 */
public record CallerRequest(
        CallerAttempt attempt,
        HttpMethod method,
        String uri,
        MultiMap headers,
        Optional<Buffer> body,
        RoutedRequest routed,
        long arrivedMs,
        long deadlineMs) {
    /**
     * Returns the time by which the answer is of full use.
     *
     * @return milliseconds
     */
    public long goalTimeMs() {
        return arrivedMs + routed.route().goalMs();
    }

    /**
     * Names the request over all its attempts, wherever they arrive.
     *
     * @return a hash of path, caller and body
     */
    public String fingerprint() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(
                    (method + " " + uri + " " + attempt.key().orElse("") + "\n").getBytes(StandardCharsets.UTF_8));
            body.ifPresent(bytes -> digest.update(bytes.getBytes()));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }
}
