package org.pimentovale.gateway.stream;

import org.pimentovale.kernel.stream.StreamOrigin;

/**
 * Tells a peer where a stream begins.
 *
 * @param attempt the identifier of the attempt that begins it
 * @param origin the origin
 */
public record OriginRecord(String attempt, StreamOrigin origin) {}
