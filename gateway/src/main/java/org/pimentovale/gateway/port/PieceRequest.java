package org.pimentovale.gateway.port;

import org.pimentovale.kernel.batch.TicketPiece;

/**
 * A piece to be processed by a call to an endpoint.
 *
 * @param piece the piece, taken from the queue
 * @param remainingMs time until the piece's deadline, in milliseconds
 */
public record PieceRequest(TicketPiece piece, long remainingMs) {}
