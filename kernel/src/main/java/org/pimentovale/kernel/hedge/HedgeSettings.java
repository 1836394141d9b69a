package org.pimentovale.kernel.hedge;

/**
 * The operator's limit of hedged requests.
 *
 * @param limitPercent hedges per hundred requests of a service over the retry window, zero if there are none
 */
public record HedgeSettings(double limitPercent) {
    /** No request is hedged. */
    public static final HedgeSettings OFF = new HedgeSettings(0);
}
