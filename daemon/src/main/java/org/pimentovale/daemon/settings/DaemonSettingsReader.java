package org.pimentovale.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.toml.TomlProblem;
import org.pimentovale.toml.TomlSection;

/** Reads the daemon's settings and reports every error at once. Stateless and thread safe. */
public final class DaemonSettingsReader {
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int DEFAULT_BODY_BYTES = 1 << 20;
    private static final int ONE_HOUR_MS = 3_600_000;

    /**
     * Reads settings.
     *
     * @param file the file's name, for messages
     * @param text the TOML text
     * @return the settings
     * @throws ServingException with {@link ErrorCode#SETTINGS_INVALID} and all problems, a line each
     */
    public DaemonSettings read(String file, String text) {
        List<TomlProblem> problems = new ArrayList<>();
        DaemonSettings settings;
        try (TomlSection root = TomlSection.parse(file, text, problems);
                TomlSection instance = root.section("instance");
                TomlSection platform = root.section("platform");
                TomlSection limits = root.section("limits");
                TomlSection peers = root.section("peers")) {
            settings = new DaemonSettings(
                    instance.text("name"),
                    instance.text("zone"),
                    instance.number("workers", 2, 1, 64),
                    instance.optionalText("log_level").orElse("INFO"),
                    instance.optionalText("routing_policy").orElse("predicted-finish"),
                    readListener(root.section("callers"), false),
                    readListener(root.section("operators"), true),
                    readListenerFields(peers, true),
                    List.copyOf(peers.texts("seeds")),
                    platform.text("plugin"),
                    platform.optionalText("address").orElse(""),
                    platform.number("call_timeout_ms", 1_000, 10, 60_000),
                    platform.optionalText("tables_file").orElse(""),
                    limits.number("body_bytes", DEFAULT_BODY_BYTES, 1, MAX_BODY_BYTES),
                    limits.number("queue", 2_000, 1, 1_000_000),
                    limits.number("caller_stall_ms", 10_000, 10, ONE_HOUR_MS),
                    limits.number("balancer_lag_ms", 2_000, 0, ONE_HOUR_MS),
                    limits.number("drain_ms", 30_000, 0, ONE_HOUR_MS),
                    limits.number("probes_per_second", 40, 1, 10_000),
                    limits.number("key_retention_hours", 24, 1, 10_000));
        }
        if (!problems.isEmpty()) {
            throw ServingException.notRun(
                    ErrorCode.SETTINGS_INVALID,
                    problems.stream().map(TomlProblem::toString).collect(Collectors.joining("\n")));
        }
        return settings;
    }

    private static ListenerSettings readListener(TomlSection section, boolean keyRequired) {
        try (section) {
            return readListenerFields(section, keyRequired);
        }
    }

    private static ListenerSettings readListenerFields(TomlSection section, boolean keyRequired) {
        Optional<String> keyFile = keyRequired ? Optional.of(section.text("key_file")) : Optional.empty();
        Optional<String> certificate = section.optionalText("certificate_file");
        Optional<String> privateKey = section.optionalText("private_key_file");
        if (certificate.isPresent() != privateKey.isPresent()) {
            section.report("certificate_file", "one of two files", "certificate_file with private_key_file");
        }
        return new ListenerSettings(
                section.optionalText("host").orElse("127.0.0.1"),
                section.number("port", 0, 0, 65_535),
                keyFile,
                certificate,
                privateKey);
    }
}
