package org.pimentovale.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.check.ConfigurationCheck;
import org.pimentovale.kernel.check.ConfigurationDifference;
import org.pimentovale.kernel.check.ConfigurationFinding;

/**
 * Implements {@code configuration check}: checks a configuration before it is sent, and compares it with the version in
 * force. Stateless and thread safe.
 */
public final class ConfigurationCheckCommand implements ToolCommand {
    @Override
    public String name() {
        return "configuration check";
    }

    @Override
    public String help() {
        return "--file FILE [--in-force FILE | --store HOST:PORT]: check before sending";
    }

    @Override
    public ExitCode run(ToolSession session) {
        ToolOptions options = session.options();
        if (options.file().isEmpty()
                || (!options.inForceFile().isEmpty() && !options.storeAddress().isEmpty())) {
            throw ServingException.notRun(
                    ErrorCode.COMMAND_LINE_INVALID, "--file is required, and at most one of --in-force and --store");
        }
        ConfigurationSource source = session.createConfigurationSource();
        ConfigurationSource.Loaded next = source.readFile(options.file());
        Optional<ConfigurationSource.Loaded> inForce = readInForce(session, source);
        Map<String, Integer> endpointCounts = next.endpointCounts().isEmpty()
                ? inForce.map(ConfigurationSource.Loaded::endpointCounts).orElse(Map.of())
                : next.endpointCounts();
        List<ConfigurationFinding> findings =
                new ArrayList<>(new ConfigurationCheck(next.configuration(), endpointCounts).findings());
        inForce.ifPresent(loaded ->
                findings.addAll(ConfigurationDifference.between(loaded.configuration(), next.configuration())));
        session.print(findings, lines(findings));
        return findings.stream().anyMatch(finding -> finding.kind().isError()) ? ExitCode.REFUSED : ExitCode.DONE;
    }

    private static Optional<ConfigurationSource.Loaded> readInForce(ToolSession session, ConfigurationSource source) {
        ToolOptions options = session.options();
        if (!options.storeAddress().isEmpty()) {
            return Optional.of(session.await(source.readStore(options.storeAddress())));
        }
        return options.inForceFile().isEmpty() ? Optional.empty() : Optional.of(source.readFile(options.inForceFile()));
    }

    private static List<String> lines(List<ConfigurationFinding> findings) {
        return findings.isEmpty()
                ? List.of("no findings")
                : findings.stream().map(ConfigurationFinding::line).toList();
    }
}
