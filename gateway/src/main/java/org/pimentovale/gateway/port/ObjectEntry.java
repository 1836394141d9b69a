package org.pimentovale.gateway.port;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object in the store.
 *
 * @param name the object's name, unique within its kind
 * @param revision the store revision of its last change
 * @param value the object's content
 */
public record ObjectEntry(String name, long revision, JsonNode value) {}
