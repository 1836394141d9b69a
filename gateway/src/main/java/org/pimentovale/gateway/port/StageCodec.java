package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;

/** Encodes calls to endpoints that work on pieces. Implementations are stateless and thread safe. */
public interface StageCodec {
    /**
     * Returns the path of a call that works on pieces.
     *
     * @return the path
     */
    String runPath();

    /**
     * Returns the path of a call that releases results.
     *
     * @return the path
     */
    String releasePath();

    /**
     * Returns the headers of a call.
     *
     * @param endpointId the endpoint that must run it
     * @return the headers
     */
    MultiMap headers(String endpointId);

    /**
     * Encodes pieces.
     *
     * @param pieces the pieces
     * @return the body
     */
    Buffer encodePieces(List<PieceRequest> pieces);

    /**
     * Decodes results.
     *
     * @param body the body of a successful answer
     * @param expected the number of pieces in the call
     * @return one result a piece, in their order
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#ANSWER_MISMATCHED}
     */
    List<PieceResult> decodeResults(Buffer body, int expected);

    /**
     * Encodes the release of results.
     *
     * @param handles the results
     * @return the body
     */
    Buffer encodeRelease(List<String> handles);

    /**
     * Returns the address of the endpoint that keeps a result.
     *
     * @param handle names the result
     * @return host and port
     */
    String addressOf(String handle);

    /**
     * Encodes a made-up good answer, for a rehearsal.
     *
     * @param request a body that {@link #encodePieces} made
     * @param address host and port that keep the results
     * @return the body, with one result a piece
     */
    Buffer sampleResults(Buffer request, String address);
}
