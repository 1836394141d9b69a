package org.pimentovale.kernel.schedule;

import java.util.Set;
import org.pimentovale.table.Urgency;

/**
 * One attempt at one stage of a request that needs an endpoint. Immutable and thread safe.
 *
 * @param requestIdentifier names the request
 * @param workspace the customer's workspace, between which grants are shared evenly
 * @param urgency how soon the request has to be served
 * @param deadlineAtMs the end of the request's time on the monotonic clock
 * @param laterStagesMs the time that the stages after this one are expected to take, in milliseconds
 * @param prefix hash of the prompt's prefix, zero for none
 * @param excluded addresses of endpoints that failed this request before
 * @param suspect whether an endpoint was lost while the request ran
 */
public record StageAttempt(
        String requestIdentifier,
        String workspace,
        Urgency urgency,
        long deadlineAtMs,
        long laterStagesMs,
        long prefix,
        Set<String> excluded,
        boolean suspect) {}
