package org.pimentovale.tool;

import java.util.List;

/**
 * Implements {@code configuration resolve}: looks up a change identifier among the recent changes of the current
 * configuration, for a change whose outcome is unknown, such as after a timeout. Stateless and thread safe.
 */
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
        String change = session.operand();
        boolean accepted = session.await(session.createEditor().containsChange(change));
        session.print(accepted, List.of(accepted ? "accepted" : "not among the recent changes"));
        return accepted ? ExitCode.DONE : ExitCode.NOT_CONFIRMED;
    }
}
