package org.pimentovale.tool;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Finds the name of a command, which has one or two words, in the arguments of a command line. */
final class CommandName {
    private CommandName() {}

    /** Returns the name that the arguments begin with; empty if there are too few for any command. */
    static Optional<String> find(List<String> arguments, Collection<String> names) {
        if (arguments.isEmpty()) {
            return Optional.empty();
        }
        if (names.contains(arguments.get(0))) {
            return Optional.of(arguments.get(0));
        }
        return arguments.size() < 2 ? Optional.empty() : Optional.of(arguments.get(0) + " " + arguments.get(1));
    }
}
