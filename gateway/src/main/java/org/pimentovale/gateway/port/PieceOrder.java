package org.pimentovale.gateway.port;

import org.pimentovale.kernel.batch.QueuedPiece;

/**
 * A piece in a call.
 *
 * @param queued the piece
 * @param leftMs time until its result is of no use, in milliseconds
 */
public record PieceOrder(QueuedPiece queued, long leftMs) {}
