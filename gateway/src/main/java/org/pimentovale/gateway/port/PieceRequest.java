package org.pimentovale.gateway.port;

import org.pimentovale.kernel.batch.TicketPiece;

/**
 * A piece in a call.
 *
 * @param queued the piece
 * @param remainingMs time until its result is of no use, in milliseconds
 */
public record PieceRequest(TicketPiece queued, long remainingMs) {}
