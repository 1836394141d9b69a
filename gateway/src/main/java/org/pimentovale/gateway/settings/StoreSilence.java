package org.pimentovale.gateway.settings;

import org.pimentovale.kernel.history.SilenceLimit;

/**
 * How late changes may be known on connections to the store that have gone silent.
 *
 * @param changes for changes of the configuration and of endpoints
 * @param withdrawals for availability zones that receive no new work
 */
public record StoreSilence(SilenceLimit changes, SilenceLimit withdrawals) {
    /** No limit is set, so that only the longest waits of the kinds bound the delay. */
    public static final StoreSilence NONE = new StoreSilence(SilenceLimit.NONE, SilenceLimit.NONE);
}
