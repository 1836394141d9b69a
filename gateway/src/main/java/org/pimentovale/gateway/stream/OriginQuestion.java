package org.pimentovale.gateway.stream;

/**
 * Asks a peer where a stream began.
 *
 * @param attempt the identifier of the attempt that began it
 * @param service the service to which the stream's route leads now
 * @param windowMs the longest time that the stream may have lasted, in milliseconds
 */
public record OriginQuestion(String attempt, String service, long windowMs) {}
