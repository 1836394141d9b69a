package org.pimentovale.tool;

import java.util.List;
import org.pimentovale.table.Tables;

/**
 * Implements {@code tables check}: validates a tables file without access to the platform. Stateless and thread safe.
 */
public final class TablesCheckCommand implements ToolCommand {
    @Override
    public String name() {
        return "tables check";
    }

    @Override
    public String help() {
        return "--file FILE: check tables offline";
    }

    @Override
    public ExitCode run(ToolSession session) {
        Tables tables = session.readTablesFile().tables();
        session.print(
                tables,
                List.of("valid: " + tables.routes().size() + " routes, "
                        + tables.pools().size() + " pools"));
        return ExitCode.DONE;
    }
}
