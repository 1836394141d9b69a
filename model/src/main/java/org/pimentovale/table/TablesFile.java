package org.pimentovale.table;

import java.util.List;
import java.util.Optional;
import org.pimentovale.toml.TomlProblem;

/**
 * The result of reading a file of tables. Immutable and thread safe.
 *
 * @param baseRevision the revision on which the file is based, if the file states one
 * @param tables the tables
 * @param problems all problems found; the tables are valid only if there are none
 */
public record TablesFile(Optional<Long> baseRevision, Tables tables, List<TomlProblem> problems) {}
