package org.pimentovale.kernel.placement;

import java.util.Optional;
import java.util.Set;

/**
 * What a placement has to know of a request.
 *
 * @param key differs for each request, such as its identifier; the only source of randomness of the placement
 * @param tried the identifiers of the endpoints that the request was already sent to
 * @param sharedPrefix the longest part of the prompt that is shared with other requests
 * @param zone the availability zone of this instance, preferred on equal load
 * @param workMs the expected time of the request's work at a usual endpoint without load, in milliseconds
 * @param msPerToken the expected time in which a usual endpoint reads a token of a prompt, in milliseconds
 */
public record PlacementRequest(
        String key,
        Set<String> tried,
        Optional<PromptPart> sharedPrefix,
        String zone,
        double workMs,
        double msPerToken) {}
