package org.pimentovale.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The complete result of a stage. Thread safe provided that the JSON tree is not modified.
 *
 * @param status HTTP status of the endpoint's response
 * @param value JSON content of the response
 */
public record StageResult(int status, JsonNode value) {}
