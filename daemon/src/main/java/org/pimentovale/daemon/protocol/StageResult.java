package org.pimentovale.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The whole answer of a stage. The tree must not be changed; then thread safe.
 *
 * @param status the endpoint's HTTP status
 * @param value the answer
 */
public record StageResult(int status, JsonNode value) {}
