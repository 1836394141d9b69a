package org.pimentovale.daemon.caller;

import io.vertx.core.Future;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;

/** Notifies other instances of endpoint state observed while requests run. Implementations are thread safe. */
public interface EndpointNotifier {
    /**
     * Notifies other instances that an endpoint became warm.
     *
     * @param endpoint the endpoint and its incarnation
     */
    void notifyWarm(EndpointIncarnation endpoint);

    /**
     * Notifies other instances that an endpoint was lost while it ran a request.
     *
     * @param fingerprint fingerprint of the request
     * @param endpoint address and incarnation, separated by {@code #}
     * @return a future that completes when every other instance has been notified or has not responded; it never fails
     */
    Future<Void> notifyLoss(String fingerprint, String endpoint);
}
