package org.pimentovale.gateway.stage;

import org.pimentovale.error.ErrorCode;

/**
 * Why a stage has no results, as the owner of its service tells it.
 *
 * @param code what failed
 * @param detail what exactly was met
 */
public record StageProblem(ErrorCode code, String detail) {}
