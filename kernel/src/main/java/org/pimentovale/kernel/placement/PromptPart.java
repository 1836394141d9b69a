package org.pimentovale.kernel.placement;

/**
 * A part of a prompt, which several requests may share.
 *
 * @param identifier names the part
 * @param tokens its length in tokens
 */
public record PromptPart(String identifier, int tokens) {}
