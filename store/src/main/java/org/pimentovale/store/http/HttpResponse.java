package org.pimentovale.store.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the complete body
 */
public record HttpResponse(int status, MultiMap headers, Buffer body) {}
