package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * Encodes calls to endpoints that process pieces of stages and decodes their responses. Implementations are stateless
 * and thread safe.
 */
public interface StageCodec {
    /**
     * Returns the path of calls that process pieces.
     *
     * @return the path
     */
    String runPath();

    /**
     * Returns the path of calls that release stored results.
     *
     * @return the path
     */
    String releasePath();

    /**
     * Returns the headers of a call.
     *
     * @param endpointId the endpoint that must run the call; any other must refuse it
     * @return the headers
     */
    MultiMap headers(String endpointId);

    /**
     * Encodes the body of a call that processes pieces.
     *
     * @param pieces the pieces, in the order of the results
     * @return the body
     */
    Buffer encodePieces(List<PieceRequest> pieces);

    /**
     * Decodes the results of a call that processes pieces.
     *
     * @param body the body of a successful response
     * @param expected the number of pieces in the call
     * @return one result per piece, in the order of the call
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#ANSWER_MISMATCHED}
     *     if the body does not match the call
     */
    List<PieceResult> decodeResults(Buffer body, int expected);

    /**
     * Encodes the body of a call that releases results.
     *
     * @param handles the handles of the results
     * @return the body
     */
    Buffer encodeRelease(List<String> handles);

    /**
     * Returns the address of the endpoint that stores a result.
     *
     * @param handle identifies the result
     * @return host and port
     */
    String addressOf(String handle);

    /**
     * Encodes a sample successful response for the JIT warm-up.
     *
     * @param request a body created by {@link #encodePieces}
     * @param address host and port of the endpoint that stores the results
     * @return the body, with one result per piece
     */
    Buffer sampleResults(Buffer request, String address);
}
