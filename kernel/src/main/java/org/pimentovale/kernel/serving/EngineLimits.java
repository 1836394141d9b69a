package org.pimentovale.kernel.serving;

/**
 * What one model engine bears.
 *
 * @param slots requests that run at the same time
 * @param memoryTokens the tokens that running requests and cached prompt parts share
 */
public record EngineLimits(int slots, long memoryTokens) {}
