package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * The complete response to a request, as written to the caller. Thread safe provided that the JSON trees are not
 * modified.
 *
 * @param requestId identifier of the request
 * @param kind kind of the request
 * @param result result of the last stage
 * @param stages results of all stages by name, in the order of the route
 */
public record PipelineResponse(String requestId, String kind, JsonNode result, Map<String, JsonNode> stages) {}
