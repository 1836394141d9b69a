package org.pimentovale.kernel.serving;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.membership.RendezvousHash;
import org.pimentovale.kernel.serving.RequestRouting.RoutedRequest;

class RequestRoutingTest {
    private static ServingRoute route(String name, String prefix, boolean open, List<WeightedService> services) {
        return new ServingRoute(
                name, "shop.example", prefix, RequestKind.IDEMPOTENT, 600, 100, 2, services, 2, List.of(), open, false);
    }

    private static ServingService service(String name) {
        return new ServingService(name, 0, Optional.empty());
    }

    private static final List<WeightedService> DESK = List.of(new WeightedService("desk", 1));
    private static final ServingConfiguration CONFIGURATION = new ServingConfiguration(
            7,
            List.of(
                    route("short", "/a/", false, DESK),
                    route("long", "/a/b/", false, DESK),
                    route("open", "/open/", true, DESK),
                    route(
                            "split",
                            "/split/",
                            true,
                            List.of(new WeightedService("desk", 90), new WeightedService("other", 10)))),
            List.of(service("desk"), service("other")),
            List.of(new ServingWorkspace("growers", List.of("key-1"), OptionalInt.of(0))),
            new CallerLimits(1_000, 15_000));

    private static RoutedRequest find(String host, String path, String key) {
        return RequestRouting.route(CONFIGURATION, host, path, Optional.ofNullable(key), 1);
    }

    @Nested
    class RouteSelection {
        @Test
        void usesLongestMatchingPrefix() {
            assertThat(find("shop.example", "/a/b/c", "key-1").route().name()).isEqualTo("long");
            assertThat(find("shop.example", "/a/bc", "key-1").route().name()).isEqualTo("short");
        }

        @Test
        void ignoresCaseAndPortOfHost() {
            assertThat(find("Shop.Example:8080", "/a/x", "key-1").route().name())
                    .isEqualTo("short");
        }

        @Test
        void rejectsUnconfiguredPath() {
            ServingException failure =
                    assertThrows(ServingException.class, () -> find("shop.example", "/none/", "key-1"));

            assertThat(failure.code()).isEqualTo(ErrorCode.KIND_UNKNOWN);
        }

        @Test
        void splitsRequestsByWeight() {
            int others = 0;
            for (int request = 0; request < 2_000; request++) {
                long key = RendezvousHash.weight("split", "request-" + request);
                RoutedRequest routed =
                        RequestRouting.route(CONFIGURATION, "shop.example", "/split/", Optional.empty(), key);
                others += routed.service().name().equals("other") ? 1 : 0;
            }

            assertThat(others).isAtLeast(140);
            assertThat(others).isAtMost(260);
        }
    }

    @Nested
    class KeyChecks {
        @Test
        void selectsWorkspaceAndItsPriority() {
            RoutedRequest routed = find("shop.example", "/a/x", "key-1");

            assertThat(routed.workspace().orElseThrow().name()).isEqualTo("growers");
            assertThat(routed.priority()).isEqualTo(0);
        }

        @Test
        void requiresKnownKeyUnlessRouteIsOpen() {
            ServingException failure =
                    assertThrows(ServingException.class, () -> find("shop.example", "/a/x", "key-2"));

            assertThat(failure.code()).isEqualTo(ErrorCode.UNAUTHORISED);
            assertThat(find("shop.example", "/open/x", null).workspace()).isEmpty();
        }
    }
}
