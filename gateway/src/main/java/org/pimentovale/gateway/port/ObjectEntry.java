package org.pimentovale.gateway.port;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the store.
 *
 * @param name its name within its kind
 * @param revision the store's revision at its last change
 * @param value what it holds
 */
public record ObjectEntry(String name, long revision, JsonNode value) {}
