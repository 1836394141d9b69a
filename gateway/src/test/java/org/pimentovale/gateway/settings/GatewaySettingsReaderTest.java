package org.pimentovale.gateway.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

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
}
