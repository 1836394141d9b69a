package org.pimentovale.kernel.placement;

import java.util.Locale;
import org.pimentovale.kernel.directory.EndpointState;

/**
 * An endpoint that was chosen for a request, with the inputs of the choice.
 *
 * @param endpoint the endpoint
 * @param basis the rule that chose it
 * @param prediction what was expected of it
 */
public record Placement(EndpointState endpoint, Basis basis, FinishPrediction prediction) {
    /** The rules that choose endpoints. */
    public enum Basis {
        /** Endpoints are even: the fewest calls for each slot. */
        LOAD,
        /** Endpoints are uneven: drawn by predicted finish. */
        FINISH,
        /** The request shares a prompt part that the endpoint probably keeps. */
        AFFINITY;

        /**
         * Returns the name for logs.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
