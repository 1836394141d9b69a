package org.pimentovale.daemon.caller;

import io.vertx.core.Future;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;

/** Is told what requests find out about endpoints and other instances should learn. Implementations are thread safe. */
public interface EndpointNotifier {
    /**
     * An incarnation became warm.
     *
     * @param endpoint the endpoint and its incarnation
     */
    void notifyWarm(EndpointIncarnation endpoint);

    /**
     * An endpoint was lost while a request ran.
     *
     * @param fingerprint the request's fingerprint
     * @param endpoint address and incarnation
     * @return completes, never fails, once other instances know or did not answer
     */
    Future<Void> notifyLoss(String fingerprint, String endpoint);
}
