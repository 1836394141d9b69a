package org.pimentovale.gateway.settings;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.history.SilenceLimit;
import org.pimentovale.kernel.rollout.RolloutSettings;

/**
 * The settings that the platform sets in the environment, since it does not give all of them on every deployment. A
 * variable that is absent or empty leaves the setting as it is. Immutable and thread safe.
 */
final class SettingsEnvironment {
    private static final String LINK_MBPS = "GATEWAY_LINK_MBPS";
    private static final String STORE_READS_PER_SECOND = "GATEWAY_STORE_READS_PER_S";
    private static final String EXPOSURE_SHARE = "GATEWAY_ROLLOUT_EXPOSURE_SHARE";
    private static final String EXPOSURE_SLACK = "GATEWAY_ROLLOUT_EXPOSURE_SLACK";
    private static final String ROLLBACK_MS = "GATEWAY_ROLLOUT_ROLLBACK_MS";
    private static final String CHANGES_SILENCE_MS = "GATEWAY_STORE_SILENCE_CHANGES_MS";
    private static final String WITHDRAWALS_SILENCE_MS = "GATEWAY_STORE_SILENCE_WITHDRAWALS_MS";

    private final Map<String, String> variables;

    SettingsEnvironment(Map<String, String> variables) {
        this.variables = Map.copyOf(variables);
    }

    /** Returns the settings with the values of the environment. */
    GatewaySettings applyTo(GatewaySettings settings) {
        FeatureSettings features = settings.features();
        OptionalDouble readsPerSecond = number(STORE_READS_PER_SECOND, GatewaySettingsReader.MAX_READS_PER_SECOND);
        FeatureSettings changed = new FeatureSettings(
                rollout().or(features::rollout),
                features.hedge(),
                features.engineMemory(),
                features.fairQueueing(),
                readsPerSecond.isPresent() ? readsPerSecond : features.storeReadsPerSecond(),
                features.responseMemoryBytes(),
                storeSilence(features.storeSilence()));
        OptionalDouble linkMbps = number(LINK_MBPS, GatewaySettingsReader.MAX_LINK_MBPS);
        return settings.withFeatures(changed).withLinkMbps(linkMbps.orElse(settings.linkMbps()));
    }

    private StoreSilence storeSilence(StoreSilence settings) {
        return new StoreSilence(
                silence(CHANGES_SILENCE_MS).orElse(settings.changes()),
                silence(WITHDRAWALS_SILENCE_MS).orElse(settings.withdrawals()));
    }

    private Optional<SilenceLimit> silence(String variable) {
        OptionalDouble limitMs = number(variable, SilenceLimit.MIN_LIMIT_MS, GatewaySettingsReader.MAX_SILENCE_MS);
        return limitMs.isPresent() ? Optional.of(new SilenceLimit((int) limitMs.getAsDouble())) : Optional.empty();
    }

    /** Returns the bounds of roll-outs, empty unless all are set. */
    private Optional<RolloutSettings> rollout() {
        OptionalDouble share = number(EXPOSURE_SHARE, 1);
        OptionalDouble slack = number(EXPOSURE_SLACK, GatewaySettingsReader.MAX_EXPOSURE_SLACK);
        OptionalDouble rollbackMs = number(ROLLBACK_MS, GatewaySettingsReader.MAX_ROLLBACK_MS);
        if (share.isEmpty() || slack.isEmpty() || rollbackMs.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new RolloutSettings(share.getAsDouble(), slack.getAsDouble(), (long) rollbackMs.getAsDouble()));
    }

    private OptionalDouble number(String variable, double max) {
        return number(variable, 0, max);
    }

    private OptionalDouble number(String variable, double min, double max) {
        String value = variables.getOrDefault(variable, "");
        if (value.isEmpty()) {
            return OptionalDouble.empty();
        }
        try {
            double number = Double.parseDouble(value);
            if (number >= min && number <= max) {
                return OptionalDouble.of(number);
            }
        } catch (NumberFormatException malformed) {
            // Reported below, as a number out of range is.
        }
        throw ServingException.notRun(
                ErrorCode.SETTINGS_INVALID,
                variable + " = \"" + value + "\": expected a number from " + (long) min + " to " + (long) max);
    }
}
