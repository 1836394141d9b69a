package org.pimentovale.table;

import java.util.Locale;
import org.tomlj.Toml;

/** Writes tables as TOML in the format that {@link TablesReader} reads. Stateless and thread safe. */
public final class TablesWriter {
    /**
     * Writes tables.
     *
     * @param revision the revision of the tables, which becomes the base revision of an edited file
     * @param tables the tables
     * @return the TOML text
     */
    public String write(long revision, Tables tables) {
        StringBuilder text = new StringBuilder("revision = " + revision + "\n");
        tables.pools().forEach(pool -> writePool(text, pool));
        tables.routes().forEach(route -> writeRoute(text, route));
        return text.toString();
    }

    private static void writePool(StringBuilder text, Pool pool) {
        text.append("\n[[pool]]\n");
        appendLine(text, "name", quoted(pool.name()));
        appendLine(text, "protocol", quoted(pool.protocol()));
        if (!pool.model().isEmpty()) {
            appendLine(text, "model", quoted(pool.model()));
        }
        appendLine(text, "limit", pool.limit());
        appendLine(text, "cold_limit", pool.coldLimit());
        appendLine(text, "warm_after_requests", pool.warmAfterRequests());
        appendLine(text, "warm_after_ms", pool.warmAfterMs());
        appendLine(text, "progress_timeout_ms", pool.progressTimeoutMs());
        appendLine(text, "expected_ms", pool.expectedMs());
        appendLine(text, "checks_fencing", pool.checksFencing());
        appendLine(text, "refusal_statuses", pool.refusalStatuses());
        for (Endpoint endpoint : pool.endpoints()) {
            text.append("[[pool.endpoint]]\n");
            appendLine(text, "address", quoted(endpoint.address()));
            appendLine(text, "zone", quoted(endpoint.zone()));
        }
    }

    private static void writeRoute(StringBuilder text, Route route) {
        text.append("\n[[route]]\n");
        appendLine(text, "kind", quoted(route.kind()));
        appendLine(text, "deadline_ms", route.deadlineMs());
        appendLine(text, "urgency", quoted(route.urgency().name().toLowerCase(Locale.ROOT)));
        for (Stage stage : route.stages()) {
            text.append("[[route.stage]]\n");
            appendLine(text, "name", quoted(stage.name()));
            appendLine(text, "pool", quoted(stage.pool()));
            appendLine(text, "idempotent", stage.idempotent());
        }
    }

    private static void appendLine(StringBuilder text, String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private static String quoted(String value) {
        return '"' + Toml.tomlEscape(value).toString() + '"';
    }
}
