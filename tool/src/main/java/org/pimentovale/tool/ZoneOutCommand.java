package org.pimentovale.tool;

import org.pimentovale.store.change.ConfigurationEdit;

/** Implements {@code zone out}: withdraws an availability zone. Stateless and thread safe. */
public final class ZoneOutCommand implements ToolCommand {
    @Override
    public String name() {
        return "zone out";
    }

    @Override
    public String help() {
        return "ZONE: take an availability zone out of service";
    }

    @Override
    public ExitCode run(ToolSession session) {
        return session.change(ConfigurationEdit.withdrawZone(session.operand()));
    }
}
