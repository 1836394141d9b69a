package org.pimentovale.gateway.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.history.SilenceLimit;
import org.pimentovale.kernel.rollout.RolloutSettings;

class GatewaySettingsReaderTest {
    private static final String VALID_SETTINGS =
            """
            name = "gateway-1"
            zone = "north"
            platform = "fleet"
            store = "10.0.0.1:80"
            callers = "10.0.0.2:80"
            readiness = "10.0.0.2:81"
            peers = "10.0.0.2:82"
            shutdown_s = 8.0

            [retry]
            ratio = 0.2
            slack = 56
            window_s = 10
            """;

    private static GatewaySettings read(String text) {
        return new GatewaySettingsReader().read("gateway.toml", text);
    }

    @Nested
    class ValidSettings {
        @Test
        void areRead() {
            GatewaySettings settings = read(VALID_SETTINGS);

            assertThat(settings.shutdownTimeoutMs()).isEqualTo(8_000);
            assertThat(settings.retry().windowMs()).isEqualTo(10_000);
            assertThat(settings.retry().slack()).isEqualTo(56.0);
        }
    }

    @Nested
    class TheBandwidthOfTheLink {
        private static GatewaySettings read(String variable) {
            return new GatewaySettingsReader()
                    .read("gateway.toml", VALID_SETTINGS, Map.of("GATEWAY_LINK_MBPS", variable));
        }

        @Test
        void isReadFromTheEnvironment() {
            assertThat(read("10.0").linkMbps()).isEqualTo(10.0);
        }

        @Test
        void isUnknownWithoutAValue() {
            assertThat(read("").linkMbps()).isEqualTo(0.0);
        }

        @Test
        void mustBeANumber() {
            for (String variable : List.of("fast", "-1", "NaN")) {
                ServingException failure = assertThrows(ServingException.class, () -> read(variable));

                assertThat(failure.code()).isEqualTo(ErrorCode.SETTINGS_INVALID);
                assertThat(failure).hasMessageThat().contains("GATEWAY_LINK_MBPS");
            }
        }
    }

    @Nested
    class OptionalFeatures {
        private static FeatureSettings read(Map<String, String> environment) {
            return new GatewaySettingsReader()
                    .read("gateway.toml", VALID_SETTINGS, environment)
                    .features();
        }

        @Test
        void areOffWithoutASetting() {
            assertThat(read(Map.of())).isEqualTo(FeatureSettings.NONE);
        }

        /** Guards against a feature of the file that the environment's settings switch off again. */
        @Test
        void ofTheFileStayOnBesideTheEnvironment() {
            String text = VALID_SETTINGS + "\n[buffers]\nresponse_mb = 8\n";

            FeatureSettings features = new GatewaySettingsReader()
                    .read("gateway.toml", text, Map.of("GATEWAY_STORE_READS_PER_S", "6000"))
                    .features();

            assertThat(features.responseMemoryBytes()).isEqualTo(8_000_000);
        }

        @Test
        void areOffWhereThePlatformGivesEmptyValues() {
            Map<String, String> empty = Map.of(
                    "GATEWAY_STORE_READS_PER_S", "",
                    "GATEWAY_ROLLOUT_EXPOSURE_SHARE", "",
                    "GATEWAY_ROLLOUT_EXPOSURE_SLACK", "",
                    "GATEWAY_ROLLOUT_ROLLBACK_MS", "");

            assertThat(read(empty)).isEqualTo(FeatureSettings.NONE);
        }

        @Test
        void areReadFromTheEnvironment() {
            FeatureSettings features = read(Map.of(
                    "GATEWAY_STORE_READS_PER_S", "6000",
                    "GATEWAY_ROLLOUT_EXPOSURE_SHARE", "0.1",
                    "GATEWAY_ROLLOUT_EXPOSURE_SLACK", "50",
                    "GATEWAY_ROLLOUT_ROLLBACK_MS", "5000"));

            assertThat(features.storeReadsPerSecond()).isEqualTo(OptionalDouble.of(6_000));
            assertThat(features.rollout()).isEqualTo(Optional.of(new RolloutSettings(0.1, 50, 5_000)));
        }

        @Test
        void areReadFromTheFile() {
            String text = VALID_SETTINGS
                    + "\n[hedge]\nlimit_percent = 5\n[stages]\nfair_queueing = true\n[placement]\nengine_memory = true\n"
                    + "[buffers]\nresponse_mb = 8\n"
                    + "[rollout]\nexposure_share = 0.2\nexposure_slack = 10\nrollback_ms = 4000\n";

            FeatureSettings features =
                    new GatewaySettingsReader().read("gateway.toml", text).features();

            assertThat(features.hedge().limitPercent()).isEqualTo(5.0);
            assertThat(features.fairQueueing()).isTrue();
            assertThat(features.engineMemory()).isTrue();
            assertThat(features.responseMemoryBytes()).isEqualTo(8_000_000);
            assertThat(features.rollout()).isEqualTo(Optional.of(new RolloutSettings(0.2, 10, 4_000)));
        }

        @Test
        void mustBeInRange() {
            ServingException failure =
                    assertThrows(ServingException.class, () -> read(Map.of("GATEWAY_ROLLOUT_EXPOSURE_SHARE", "1.5")));

            assertThat(failure).hasMessageThat().contains("GATEWAY_ROLLOUT_EXPOSURE_SHARE");
        }
    }

    @Nested
    class InvalidSettings {
        @Test
        void areAllReportedAtOnce() {
            String invalid = VALID_SETTINGS
                    .replace("store = \"10.0.0.1:80\"", "store = \"nowhere\"")
                    .replace("ratio = 0.2", "ratio = 2")
                    .replace("zone = \"north\"", "zoen = \"north\"");

            ServingException failure = assertThrows(ServingException.class, () -> read(invalid));

            assertThat(failure.code()).isEqualTo(ErrorCode.SETTINGS_INVALID);
            assertThat(failure).hasMessageThat().contains("store");
            assertThat(failure).hasMessageThat().contains("retry.ratio");
            assertThat(failure).hasMessageThat().contains("did you mean zone?");
        }
    }

    @Nested
    class TheLimitsOnSilence {
        @Test
        void comeFromTheSettingsOrTheEnvironment() {
            String text = VALID_SETTINGS + "\n[store_silence]\nchanges_ms = 2500\n";
            StoreSilence silence = new GatewaySettingsReader()
                    .read("gateway.toml", text, Map.of("GATEWAY_STORE_SILENCE_WITHDRAWALS_MS", "5000"))
                    .features()
                    .storeSilence();

            assertThat(silence.changes()).isEqualTo(new SilenceLimit(2_500));
            assertThat(silence.withdrawals()).isEqualTo(new SilenceLimit(5_000));
        }

        @Test
        void areRefusedIfNoReaderCanKeepThem() {
            ServingException failure = assertThrows(ServingException.class, () -> new GatewaySettingsReader()
                    .read("gateway.toml", VALID_SETTINGS, Map.of("GATEWAY_STORE_SILENCE_CHANGES_MS", "100")));

            assertThat(failure).hasMessageThat().contains("GATEWAY_STORE_SILENCE_CHANGES_MS");
        }
    }
}
