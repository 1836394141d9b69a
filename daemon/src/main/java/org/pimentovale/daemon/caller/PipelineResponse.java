package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The whole answer of a request. The tree must not be changed; then thread safe.
 *
 * @param requestId names the request
 * @param kind its kind
 * @param result the last stage's result
 * @param stages the results of all stages by name, in order
 */
public record PipelineResponse(String requestId, String kind, JsonNode result, Map<String, JsonNode> stages) {}
