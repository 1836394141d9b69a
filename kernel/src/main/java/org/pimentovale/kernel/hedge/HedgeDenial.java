package org.pimentovale.kernel.hedge;

import java.util.Locale;

/** Why a request gets no second copy, in the order in which the reasons are checked. Immutable and thread safe. */
public enum HedgeDenial {
    /** Too few responses of the route and size were seen lately to know what is slow. */
    FEW_RESPONSES,
    /** The route allows no further attempt. */
    ATTEMPTS_USED {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return !situation.attemptAllowed();
        }
    },
    /** The gateway shuts down. */
    SHUTDOWN {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return situation.shuttingDown();
        }
    },
    /** A second copy would probably not respond before the deadline. */
    NEAR_DEADLINE {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return situation.remainingMs() < situation.usualMs();
        }
    },
    /** The request may have crashed an endpoint. */
    SUSPECTED {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return situation.suspected();
        }
    },
    /** Too many responses of the service are slow, so that another endpoint would be slow as well. */
    SERVICE_SLOW,
    /** The endpoints of the service are nearly fully occupied. */
    SHORT_OF_CAPACITY {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return situation.occupiedShare() >= MAX_OCCUPIED_SHARE;
        }
    },
    /** No other endpoint is warm, unlimited and has a free slot. */
    NO_ENDPOINT {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return !situation.endpointFound();
        }
    },
    /** Less than half of the retry budget is left, which is kept for retries after failures. */
    RETRY_BUDGET {
        @Override
        boolean appliesTo(HedgeSituation situation) {
            return situation.retryBudgetLeft() < MIN_RETRY_BUDGET_LEFT;
        }
    },
    /** The operator's limit is reached. */
    QUOTA;

    /** Above this occupation, queues at the endpoints delay other requests by more than a hedge gains. */
    private static final double MAX_OCCUPIED_SHARE = 0.75;

    private static final double MIN_RETRY_BUDGET_LEFT = 0.5;

    /** Tells whether the situation alone rules out a second copy for this reason. */
    boolean appliesTo(HedgeSituation situation) {
        return false;
    }

    /**
     * Returns the name used in metrics and logs.
     *
     * @return the constant's name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
