package org.pimentovale.gateway.caller;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.pimentovale.kernel.shutdown.ShutdownAdmission;

/**
 * Whether a gateway is draining, and which requests it is executing. Not thread safe; used on one event loop.
 */
public final class GatewayState {
    private final ShutdownAdmission shutdown;
    private final Set<RequestExecution> running = new HashSet<>();

    /**
     * Creates a state without requests.
     *
     * @param shutdown when the gateway ends, and which requests it starts until then
     */
    public GatewayState(ShutdownAdmission shutdown) {
        this.shutdown = shutdown;
    }

    /**
     * Returns when the gateway ends, and which requests it starts until then.
     *
     * @return the decisions during the shutdown
     */
    public ShutdownAdmission shutdown() {
        return shutdown;
    }

    /**
     * Tells whether the gateway shuts down.
     *
     * @return whether its end is set
     */
    public boolean draining() {
        return shutdown.begun();
    }

    /**
     * Adds the execution of a request.
     *
     * @param execution an execution that has not ended
     */
    public void add(RequestExecution execution) {
        running.add(execution);
    }

    /**
     * Removes the execution of a request.
     *
     * @param execution the execution that has ended, and whose response has left this process
     */
    public void remove(RequestExecution execution) {
        running.remove(execution);
    }

    /** Refuses the requests that no endpoint is running and that would not end before the gateway does. */
    public void refuseTooLate() {
        List.copyOf(running).forEach(RequestExecution::refuseIfTooLate);
    }

    /** Answers the requests that are still in progress when the process ends; responses that have begun break off. */
    public void abandonAll() {
        List.copyOf(running).forEach(RequestExecution::abandon);
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number, including requests whose bodies are still being received and responses that their callers
     *     have not read yet
     */
    public int runningCount() {
        return running.size();
    }
}
