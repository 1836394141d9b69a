package org.pimentovale.tool;

import java.util.ArrayList;
import java.util.List;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.TablesWriter;

/** Implements {@code configuration show}: prints the current configuration. Stateless and thread safe. */
public final class ConfigurationShowCommand implements ToolCommand {
    @Override
    public String name() {
        return "configuration show";
    }

    @Override
    public String help() {
        return "print the accepted tables as a file to edit";
    }

    @Override
    public ExitCode run(ToolSession session) {
        Configuration current = session.await(session.createEditor().current());
        List<String> lines = new ArrayList<>();
        current.withdrawnZones().forEach(zone -> lines.add("# withdrawn availability zone: " + zone));
        lines.add(new TablesWriter().write(current.revision(), current.tables()));
        session.print(current, lines);
        return ExitCode.DONE;
    }
}
