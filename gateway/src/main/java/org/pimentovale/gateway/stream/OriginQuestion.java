package org.pimentovale.gateway.stream;

import java.util.Optional;

/**
 * Asks a peer where a stream began.
 *
 * @param attempt the identifier of the attempt that began it
 * @param service the service to which the stream's route leads now
 * @param windowMs the longest time that the stream may have lasted, in milliseconds
 * @param confirm whether the peer is to ask the store for the endpoints and routes before it answers, empty for not
 * @param host the host of the stream's route, empty if the gateway that asks is of a build that does not tell
 * @param path the path of the request that takes the stream up, without its query, empty likewise
 */
public record OriginQuestion(
        String attempt,
        String service,
        long windowMs,
        Optional<Boolean> confirm,
        Optional<String> host,
        Optional<String> path) {
    /**
     * Creates a question that is answered at once.
     *
     * @param attempt the identifier of the attempt that began the stream
     * @param service the service to which the stream's route leads now
     * @param windowMs the longest time that the stream may have lasted, in milliseconds
     * @param host the host of the stream's route
     * @param path the path of the request that takes the stream up, without its query
     */
    public OriginQuestion(String attempt, String service, long windowMs, String host, String path) {
        this(attempt, service, windowMs, Optional.empty(), Optional.of(host), Optional.of(path));
    }

    OriginQuestion confirming() {
        return new OriginQuestion(attempt, service, windowMs, Optional.of(true), host, path);
    }

    OriginQuestion within(long longestMs) {
        return new OriginQuestion(attempt, service, longestMs, confirm, host, path);
    }
}
