package org.pimentovale.gateway.rollout;

import java.util.List;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.rollout.SendKind;

/**
 * What the senders of requests need to know and to tell about roll-outs. Not thread safe; used on one event loop.
 */
public interface RolloutRecorder {
    /** There are no roll-outs: every endpoint is allowed, and nothing is recorded. */
    RolloutRecorder OFF = new RolloutRecorder() {};

    /**
     * Tells whether orders for roll-outs are read.
     *
     * @return whether the settings name the bounds of roll-outs
     */
    default boolean enabled() {
        return false;
    }

    /**
     * Returns the endpoints that may get a request of a service, see
     * {@link org.pimentovale.kernel.rollout.BuildAdmission#admitted}.
     *
     * @param service the service's name
     * @param usable the usable endpoints
     * @param kind why the request is sent
     * @return those that the orders allow
     */
    default List<EndpointState> admitted(String service, List<EndpointState> usable, SendKind kind) {
        return usable;
    }

    /**
     * Tells whether all usable endpoints of a service are known to be allowed, see
     * {@link org.pimentovale.kernel.rollout.BuildAdmission#isUnrestricted}.
     *
     * @param service the service's name
     * @return whether {@link #admitted} leaves out no endpoint
     */
    default boolean isUnrestricted(String service) {
        return true;
    }

    /**
     * Selects among the endpoints that may get a request now, see
     * {@link org.pimentovale.kernel.rollout.BuildAdmission#preferred}.
     *
     * @param service the service's name
     * @param available the endpoints
     * @param kind why the request is sent
     * @return the preferred ones
     */
    default List<EndpointState> preferred(String service, List<EndpointState> available, SendKind kind) {
        return available;
    }

    /**
     * Records a call to an endpoint that begins now.
     *
     * @param endpoint the endpoint
     * @param route the name of the request's route
     * @param cold whether the endpoint is warming up
     * @return receives the result
     */
    default CallSample begin(EndpointRecord endpoint, String route, boolean cold) {
        return CallSample.NONE;
    }
}
