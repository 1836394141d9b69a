package org.pimentovale.gateway.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.settings.GatewaySettings.RetryBudgetSettings;
import org.pimentovale.kernel.hedge.HedgeSettings;
import org.pimentovale.kernel.history.SilenceLimit;
import org.pimentovale.kernel.rollout.RolloutSettings;
import org.pimentovale.toml.TomlProblem;
import org.pimentovale.toml.TomlSection;

/** Reads the settings of a gateway and reports all problems in one exception. Stateless and thread safe. */
public final class GatewaySettingsReader {
    private static final double DEFAULT_SHUTDOWN_SECONDS = 8;
    private static final double MAX_DURATION_SECONDS = 3_600;
    private static final double DEFAULT_RETRY_RATIO = 0.1;
    private static final double DEFAULT_RETRY_SLACK = 10;
    private static final double DEFAULT_RETRY_WINDOW_SECONDS = 10;
    private static final double MAX_RETRY_SLACK = 1e6;
    static final double MAX_READS_PER_SECOND = 1e9;
    static final double MAX_EXPOSURE_SLACK = 1e6;
    static final double MAX_ROLLBACK_MS = 3_600_000;
    private static final double MAX_HEDGE_PERCENT = 20;
    private static final double MAX_RESPONSE_MEGABYTES = 1_024;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final long MS_PER_SECOND = 1_000;
    static final double MAX_LINK_MBPS = 10_000_000;
    static final int MAX_SILENCE_MS = 3_600_000;

    /**
     * Parses and validates settings.
     *
     * @param file the file name to show in error messages
     * @param text the TOML text
     * @return the settings
     * @throws ServingException with {@link ErrorCode#SETTINGS_INVALID} and a message that lists every problem
     */
    public GatewaySettings read(String file, String text) {
        List<TomlProblem> problems = new ArrayList<>();
        GatewaySettings settings = read(TomlSection.parse(file, text, problems));
        if (!problems.isEmpty()) {
            throw ServingException.notRun(
                    ErrorCode.SETTINGS_INVALID,
                    problems.stream().map(TomlProblem::toString).collect(Collectors.joining("\n")));
        }
        return settings;
    }

    /**
     * Parses and validates settings, of which the environment may set some, see {@link SettingsEnvironment}.
     *
     * @param file the file name to show in error messages
     * @param text the TOML text
     * @param environment the variables of the process
     * @return the settings
     * @throws ServingException with {@link ErrorCode#SETTINGS_INVALID} and a message that lists every problem
     */
    public GatewaySettings read(String file, String text, Map<String, String> environment) {
        return new SettingsEnvironment(environment).applyTo(read(file, text));
    }

    private GatewaySettings read(TomlSection root) {
        try (root) {
            return new GatewaySettings(
                    root.text("name"),
                    root.text("zone"),
                    root.text("platform"),
                    address(root, "store"),
                    address(root, "callers"),
                    address(root, "readiness"),
                    address(root, "peers"),
                    root.decimal("link_mbps", 0, 0, MAX_LINK_MBPS),
                    (int) (MS_PER_SECOND
                            * root.decimal("shutdown_s", DEFAULT_SHUTDOWN_SECONDS, 1, MAX_DURATION_SECONDS)),
                    retryBudgetSettings(root.section("retry")),
                    featureSettings(root),
                    root.optionalText("log_level").orElse("INFO"));
        }
    }

    private static String address(TomlSection root, String key) {
        String address = root.text(key);
        if (!address.isEmpty() && !address.matches("[^:]+:[0-9]{1,5}")) {
            root.report(key, address, "host:port");
        }
        return address;
    }

    private static RetryBudgetSettings retryBudgetSettings(TomlSection retry) {
        try (retry) {
            return new RetryBudgetSettings(
                    retry.decimal("ratio", DEFAULT_RETRY_RATIO, 0, 1),
                    retry.decimal("slack", DEFAULT_RETRY_SLACK, 0, MAX_RETRY_SLACK),
                    (long) (MS_PER_SECOND
                            * retry.decimal("window_s", DEFAULT_RETRY_WINDOW_SECONDS, 1, MAX_DURATION_SECONDS)));
        }
    }

    private static FeatureSettings featureSettings(TomlSection root) {
        double readsPerSecond = root.decimal("store_reads_per_s", 0, 0, MAX_READS_PER_SECOND);
        return new FeatureSettings(
                rolloutSettings(root.section("rollout")),
                hedgeSettings(root.section("hedge")),
                engineMemory(root.section("placement")),
                fairQueueing(root.section("stages")),
                readsPerSecond == 0 ? OptionalDouble.empty() : OptionalDouble.of(readsPerSecond),
                responseMemoryBytes(root.section("buffers")),
                storeSilence(root.section("store_silence")));
    }

    private static StoreSilence storeSilence(TomlSection silence) {
        try (silence) {
            return new StoreSilence(silenceLimit(silence, "changes_ms"), silenceLimit(silence, "withdrawals_ms"));
        }
    }

    private static SilenceLimit silenceLimit(TomlSection silence, String key) {
        return silence.keys().contains(key)
                ? new SilenceLimit(
                        (int) silence.decimal(key, MAX_SILENCE_MS, SilenceLimit.MIN_LIMIT_MS, MAX_SILENCE_MS))
                : SilenceLimit.NONE;
    }

    private static Optional<RolloutSettings> rolloutSettings(TomlSection rollout) {
        try (rollout) {
            if (rollout.keys().isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(new RolloutSettings(
                    rollout.decimal("exposure_share", 0, 0, 1),
                    rollout.decimal("exposure_slack", 0, 0, MAX_EXPOSURE_SLACK),
                    (long) rollout.decimal("rollback_ms", 1, 1, MAX_ROLLBACK_MS)));
        }
    }

    private static boolean engineMemory(TomlSection placement) {
        try (placement) {
            return placement.flag("engine_memory", false);
        }
    }

    private static boolean fairQueueing(TomlSection stages) {
        try (stages) {
            return stages.flag("fair_queueing", false);
        }
    }

    private static long responseMemoryBytes(TomlSection buffers) {
        try (buffers) {
            return (long) (BYTES_PER_MEGABYTE * buffers.decimal("response_mb", 0, 0, MAX_RESPONSE_MEGABYTES));
        }
    }

    private static HedgeSettings hedgeSettings(TomlSection hedge) {
        try (hedge) {
            return new HedgeSettings(hedge.decimal("limit_percent", 0, 0, MAX_HEDGE_PERCENT));
        }
    }
}
