package org.pimentovale.tool;

import java.util.List;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.TablesMerge;

/**
 * Implements {@code configuration diff}: prints the difference between the current configuration and a tables file.
 * Stateless and thread safe.
 */
public final class ConfigurationDifferenceCommand implements ToolCommand {
    @Override
    public String name() {
        return "configuration diff";
    }

    @Override
    public String help() {
        return "--file FILE: what applying the file would change";
    }

    @Override
    public ExitCode run(ToolSession session) {
        Configuration current = session.await(session.createEditor().current());
        List<String> lines = TablesMerge.difference(
                current.tables(), session.readTablesFile().tables());
        session.print(lines, lines.isEmpty() ? List.of("no difference to revision " + current.revision()) : lines);
        return ExitCode.DONE;
    }
}
