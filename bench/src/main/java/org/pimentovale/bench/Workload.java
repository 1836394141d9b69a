package org.pimentovale.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * The mix of requests of an operator; its kinds are routes of the tables files supplied with the project. Immutable and
 * thread safe.
 */
enum Workload {
    BANCHI_FIORITI(
            new Kind("critique", 0.15, 30_000, false, true),
            new Kind("care-notes", 0.20, 12_000, false, true),
            new Kind("chat", 0.35, 8_000, false, true),
            new Kind("reservation", 0.10, 5_000, true, false),
            new Kind("availability", 0.20, 2_000, false, false)),
    TREUILS(
            new Kind("load-plan", 0.30, 12_000, false, true),
            new Kind("rigging-notes", 0.20, 20_000, false, true),
            new Kind("delivery-summary", 0.20, 30_000, false, true),
            new Kind("winch-booking", 0.10, 5_000, true, false),
            new Kind("stock", 0.20, 2_000, false, false));

    private static final double[] WORKSPACE_SHARES = {0.5, 0.25, 0.15, 0.06, 0.04};
    private static final int DISTINCT_PREFIXES = 40;

    @SuppressWarnings("ImmutableEnumChecker") // List.of() is immutable, which the declared type does not express.
    private final List<Kind> kinds;

    /**
     * A kind of request.
     *
     * @param name its name in the routes table
     * @param share its share of all requests, between 0 and 1
     * @param deadlineMs its deadline in the routes table, in milliseconds
     * @param keyed whether it carries an idempotency key
     * @param generates whether its route has a stage on the model engines
     */
    record Kind(String name, double share, int deadlineMs, boolean keyed, boolean generates) {}

    Workload(Kind... kinds) {
        this.kinds = List.of(kinds);
    }

    static Workload of(String name) {
        return Arrays.stream(values())
                .filter(workload -> workload.name()
                        .toLowerCase(Locale.ROOT)
                        .replace('_', '-')
                        .equals(name))
                .findFirst()
                .orElseThrow();
    }

    Kind nextKind(RandomGenerator random) {
        double draw = random.nextDouble();
        for (Kind kind : kinds) {
            draw -= kind.share();
            if (draw < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    static String nextWorkspace(RandomGenerator random) {
        double draw = random.nextDouble();
        for (int position = 0; position < WORKSPACE_SHARES.length; position++) {
            draw -= WORKSPACE_SHARES[position];
            if (draw < 0) {
                return "workspace-" + position;
            }
        }
        return "workspace-0";
    }

    static String nextBody(RandomGenerator random) {
        int prefix = random.nextInt(DISTINCT_PREFIXES);
        return "{\"prompt\":\"" + ("Instructions of series " + prefix + ". ").repeat(12) + "Question "
                + random.nextInt() + "\"}";
    }
}
