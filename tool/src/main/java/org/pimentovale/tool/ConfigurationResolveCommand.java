package org.pimentovale.tool;

import java.util.List;

/** The command {@code configuration resolve}. Stateless and thread safe. */
public final class ConfigurationResolveCommand implements ToolCommand {
    @Override
    public String name() {
        return "configuration resolve";
    }

    @Override
    public String help() {
        return "CHANGE: find out whether a change was accepted";
    }

    @Override
    public ExitCode run(ToolSession session) {
        String change = session.subject();
        boolean accepted = session.await(session.editor().containsChange(change));
        session.print(accepted, List.of(accepted ? "accepted" : "not accepted so far"));
        return accepted ? ExitCode.DONE : ExitCode.NOT_CONFIRMED;
    }
}
