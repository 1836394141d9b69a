package org.pimentovale.kernel.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Selects the endpoints of a new build that get requests during its trial.
 *
 * <p>The selection depends only on the arguments, so that two deciders select the same endpoints. Each selected
 * endpoint gets about the load of an old one, so that faults that need some load show. The selection rotates through
 * all endpoints, so that one faulty endpoint does not determine the result for the build. Stateless and thread safe.
 */
public final class CanarySelection {
    // Of fewer endpoints, a single faulty one would determine a large part of the evidence.
    private static final int MIN_CANARIES = 3;
    // The trial's allowance is half of the exposure share, so this number of endpoints gets an old one's load each.
    private static final double SHARE_DIVISOR = 2;

    private CanarySelection() {}

    /**
     * Selects canary endpoints.
     *
     * @param usable the identifiers of the new build's usable endpoints
     * @param oldEndpoints the number of endpoints of other builds
     * @param exposureShare the share of the requests that the new build may get
     * @param rotationMs how long a selection lasts, in milliseconds
     * @param ageMs the order's age in milliseconds
     * @return the identifiers of the selected endpoints
     */
    public static List<String> select(
            Collection<String> usable, int oldEndpoints, double exposureShare, long rotationMs, long ageMs) {
        List<String> sorted = usable.stream().sorted().toList();
        int wanted = Math.max(MIN_CANARIES, (int) Math.ceil(exposureShare / SHARE_DIVISOR * oldEndpoints));
        if (sorted.size() <= wanted) {
            return sorted;
        }
        long first = Math.max(0, ageMs) / rotationMs * wanted;
        List<String> selected = new ArrayList<>();
        for (int offset = 0; offset < wanted; offset++) {
            selected.add(sorted.get((int) ((first + offset) % sorted.size())));
        }
        return selected;
    }
}
