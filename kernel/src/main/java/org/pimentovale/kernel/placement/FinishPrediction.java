package org.pimentovale.kernel.placement;

/**
 * What is expected of an endpoint for the next request.
 *
 * @param calls the estimated number of running and waiting calls
 * @param slots the number of calls that it runs concurrently
 * @param slowdown the estimated time of work on its machine, relative to the usual time
 * @param workTimeFactor the learnt time of work at the endpoint, relative to the mean of its service
 * @param waitInServices the expected wait for a slot, in service times
 */
public record FinishPrediction(double calls, int slots, double slowdown, double workTimeFactor, double waitInServices) {
    /**
     * Returns the time from sending a request to its end, relative to the time of its work at a usual endpoint.
     *
     * @return the predicted finish, positive
     */
    public double finish() {
        return presentWorkTimeFactor() * (1 + waitInServices);
    }

    /**
     * Returns the time of work at the endpoint on its machine as it is now, relative to a usual endpoint.
     *
     * @return the factor, positive
     */
    public double presentWorkTimeFactor() {
        return slowdown * workTimeFactor;
    }
}
