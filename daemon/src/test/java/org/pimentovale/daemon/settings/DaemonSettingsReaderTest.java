package org.pimentovale.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

class DaemonSettingsReaderTest {
    private static final String VALID_SETTINGS =
            """
            [instance]
            name = "entry"
            zone = "zone-a"
            [callers]
            port = 8080
            [operators]
            key_file = "operators.key"
            [peers]
            key_file = "peers.key"
            [platform]
            plugin = "embedded"
            """;

    @Nested
    class WithValidSettings {
        @Test
        void fillsDefaults() {
            DaemonSettings settings = new DaemonSettingsReader().read("entry.toml", VALID_SETTINGS);
            assertThat(settings.callerListener().port()).isEqualTo(8080);
            assertThat(settings.routingPolicy()).isEqualTo("predicted-finish");
            assertThat(settings.balancerLagMs()).isEqualTo(2_000);
        }
    }

    @Nested
    class WithInvalidSettings {
        @Test
        void reportsEveryErrorAtOnce() {
            String invalidSettings = VALID_SETTINGS.replace("port = 8080", "port = 99999\nprot = 1")
                    .replace("zone = \"zone-a\"\n", "")
                    .replace("plugin", "plugn");
            ServingException failure =
                    assertThrows(ServingException.class, () -> new DaemonSettingsReader().read("entry.toml", invalidSettings));
            assertThat(failure.code()).isEqualTo(ErrorCode.SETTINGS_INVALID);
            assertThat(failure.getMessage()).contains("entry.toml:4: callers.port: given 99999");
            assertThat(failure.getMessage())
                    .contains("callers.prot: given an unknown key, allowed: did you mean port?");
            assertThat(failure.getMessage()).contains("instance.zone: given nothing");
            assertThat(failure.getMessage()).contains("did you mean plugin?");
        }
    }
}
