package org.pimentovale.kernel.placement;

/**
 * A part of a prompt that several requests may share.
 *
 * @param identifier identifies the content of the part
 * @param tokens the length of the part in tokens
 */
public record PromptPart(String identifier, int tokens) {}
