package org.pimentovale.gateway.feed;

import java.util.List;

/**
 * What a gateway knows beyond a restored store.
 *
 * @param kinds the confirmed objects of each kind, empty unless the store was restored lately
 */
public record ConfirmedState(List<ConfirmedObjects> kinds) {
    /** Copies the list. */
    public ConfirmedState {
        kinds = List.copyOf(kinds);
    }
}
