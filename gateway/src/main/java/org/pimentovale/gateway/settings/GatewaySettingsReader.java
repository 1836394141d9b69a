package org.pimentovale.gateway.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.settings.GatewaySettings.RetryBudgetSettings;
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
    private static final String LINK_VARIABLE = "GATEWAY_LINK_MBPS";
    private static final long MS_PER_SECOND = 1_000;
    private static final double MAX_LINK_MBPS = 10_000_000;

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
     * Parses and validates settings, of which the environment sets the bandwidth of the link if it names one.
     *
     * @param file the file name to show in error messages
     * @param text the TOML text
     * @param environment the variables of the process
     * @return the settings
     * @throws ServingException with {@link ErrorCode#SETTINGS_INVALID} and a message that lists every problem
     */
    public GatewaySettings read(String file, String text, Map<String, String> environment) {
        GatewaySettings settings = read(file, text);
        String linkMbps = environment.getOrDefault(LINK_VARIABLE, "");
        return linkMbps.isEmpty() ? settings : settings.withLinkMbps(parseLink(linkMbps));
    }

    private static double parseLink(String value) {
        try {
            double linkMbps = Double.parseDouble(value);
            if (linkMbps >= 0 && linkMbps <= MAX_LINK_MBPS) {
                return linkMbps;
            }
        } catch (NumberFormatException malformed) {
            // Reported below, as a number out of range is.
        }
        throw ServingException.notRun(
                ErrorCode.SETTINGS_INVALID,
                LINK_VARIABLE + " = \"" + value + "\": expected a number of megabits per second, 0 to "
                        + (long) MAX_LINK_MBPS);
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
}
