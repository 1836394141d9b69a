package org.pimentovale.table;

import java.util.Locale;
import org.tomlj.Toml;

/** Writes tables as TOML that {@link TablesReader} reads back. Stateless and thread safe. */
public final class TablesWriter {
    /**
     * Writes tables.
     *
     * @param revision the revision from which an edited file starts
     * @param tables the tables
     * @return TOML text
     */
    public String write(long revision, Tables tables) {
        StringBuilder text = new StringBuilder("revision = " + revision + "\n");
        tables.pools().forEach(pool -> writePool(text, pool));
        tables.routes().forEach(route -> writeRoute(text, route));
        return text.toString();
    }

    private static void writePool(StringBuilder text, Pool pool) {
        text.append("\n[[pool]]\n");
        line(text, "name", quoted(pool.name()));
        line(text, "protocol", quoted(pool.protocol()));
        if (!pool.model().isEmpty()) {
            line(text, "model", quoted(pool.model()));
        }
        line(text, "limit", pool.limit());
        line(text, "cold_limit", pool.coldLimit());
        line(text, "warm_after_requests", pool.warmAfterRequests());
        line(text, "warm_after_ms", pool.warmAfterMs());
        line(text, "progress_timeout_ms", pool.progressTimeoutMs());
        line(text, "expected_ms", pool.expectedMs());
        line(text, "checks_fencing", pool.checksFencing());
        line(text, "refusal_statuses", pool.refusalStatuses());
        for (Endpoint endpoint : pool.endpoints()) {
            text.append("[[pool.endpoint]]\n");
            line(text, "address", quoted(endpoint.address()));
            line(text, "zone", quoted(endpoint.zone()));
        }
    }

    private static void writeRoute(StringBuilder text, Route route) {
        text.append("\n[[route]]\n");
        line(text, "kind", quoted(route.kind()));
        line(text, "deadline_ms", route.deadlineMs());
        line(text, "urgency", quoted(route.urgency().name().toLowerCase(Locale.ROOT)));
        for (Stage stage : route.stages()) {
            text.append("[[route.stage]]\n");
            line(text, "name", quoted(stage.name()));
            line(text, "pool", quoted(stage.pool()));
            line(text, "idempotent", stage.idempotent());
        }
    }

    private static void line(StringBuilder text, String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private static String quoted(String value) {
        return '"' + Toml.tomlEscape(value).toString() + '"';
    }
}
