package org.pimentovale.tool;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.store.change.ConfigurationEdit;
import org.pimentovale.store.change.ConfigurationEditor;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Tables;
import org.pimentovale.table.TablesFile;

/**
 * Implements {@code configuration apply}: merges a tables file into the current configuration. The base of the merge is
 * the revision that the file names, or the current revision if it names none. Stateless and thread safe.
 */
public final class ConfigurationApplyCommand implements ToolCommand {
    @Override
    public String name() {
        return "configuration apply";
    }

    @Override
    public String help() {
        return "--file FILE: apply the tables; withdrawn zones stay out of service";
    }

    @Override
    public ExitCode run(ToolSession session) {
        TablesFile file = session.readTablesFile();
        ConfigurationEditor editor = session.createEditor();
        Configuration current = session.await(editor.current());
        Tables base = current.tables();
        if (file.baseRevision().isPresent() && file.baseRevision().get() != current.revision()) {
            Optional<Configuration> earlier =
                    session.await(editor.readRevision(file.baseRevision().get()));
            base = earlier.orElseThrow(() -> ServingException.notRun(
                            ErrorCode.CONFIGURATION_CONFLICT,
                            "revision " + file.baseRevision().get() + " is no longer stored; the current revision is "
                                    + current.revision()))
                    .tables();
        }
        return session.change(ConfigurationEdit.replaceTables(base, file.tables()));
    }
}
