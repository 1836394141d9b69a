package org.pimentovale.table;

import java.util.List;
import java.util.Optional;
import org.pimentovale.toml.TomlProblem;

/**
 * What was read from an operator's file. Immutable and thread safe.
 *
 * @param baseRevision the revision from which the file was made, where it says so
 * @param tables the tables
 * @param problems every problem met; the tables are complete only where this is empty
 */
public record TablesFile(Optional<Long> baseRevision, Tables tables, List<TomlProblem> problems) {}
