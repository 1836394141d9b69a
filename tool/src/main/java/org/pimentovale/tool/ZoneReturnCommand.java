package org.pimentovale.tool;

import org.pimentovale.store.change.ConfigurationEdit;

/** Implements {@code zone return}: returns a withdrawn availability zone to service. Stateless and thread safe. */
public final class ZoneReturnCommand implements ToolCommand {
    @Override
    public String name() {
        return "zone return";
    }

    @Override
    public String help() {
        return "ZONE: return an availability zone to service";
    }

    @Override
    public ExitCode run(ToolSession session) {
        return session.change(ConfigurationEdit.returnZone(session.operand()));
    }
}
