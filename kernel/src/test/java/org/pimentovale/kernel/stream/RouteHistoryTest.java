package org.pimentovale.kernel.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.serving.CallerLimits;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.WeightedService;

class RouteHistoryTest {
    private static final String HOST = "shop.example";

    private final RouteHistory history = new RouteHistory();

    private static ServingRoute route(String prefix, String service) {
        return route(prefix, service, 3_000);
    }

    private static ServingRoute route(String prefix, String service, int timeoutMs) {
        return new ServingRoute(
                prefix,
                HOST,
                prefix,
                RequestKind.STREAMING,
                timeoutMs,
                1_000,
                1,
                List.of(new WeightedService(service, 1)),
                1,
                List.of(),
                true,
                true);
    }

    private void observe(long nowMs, ServingRoute... routes) {
        history.observe(
                new ServingConfiguration(nowMs, List.of(routes), List.of(), List.of(), new CallerLimits(1, 1)), nowMs);
    }

    private List<String> recentServices(String path, long sinceMs) {
        return history.recentRoutes(HOST, path, sinceMs).stream()
                .flatMap(route -> route.targets().stream())
                .toList();
    }

    @Test
    void aRouteIsInForceUntilTheNextConfigurationIsObserved() {
        observe(0, route("/a/", "old"));
        observe(5_000, route("/a/", "new"));

        assertThat(recentServices("/a/1", 5_000)).containsExactly("old", "new");
        assertThat(recentServices("/a/1", 5_001)).isEmpty();
    }

    @Test
    void aPathMayHaveLedElsewhereBeforeALongerPrefixWasAdded() {
        observe(0, route("/a/", "old"));
        observe(1, route("/a/", "old"), route("/a/b/", "new"));

        assertThat(recentServices("/a/b/1", 0)).containsExactly("old", "new");
        assertThat(recentServices("/a/1", 0)).containsExactly("old", "old");
    }

    @Test
    void aLongerTimeoutCountsUntilItsStreamsHaveEnded() {
        observe(0, route("/a/", "old", 20_000));
        observe(1_000, route("/a/", "old", 3_000));

        assertThat(history.longestWindowMs(HOST, "/a/1", 41_000)).isEqualTo(40_000);
        assertThat(history.longestWindowMs(HOST, "/a/1", 41_001)).isEqualTo(0);
    }

    @Test
    void tellsForHowLongNoRouteHasChanged() {
        assertThat(history.unchangedMs(1_000, 0)).isEqualTo(0);
        observe(100, route("/a/", "first"));
        observe(400, route("/a/", "first"));

        assertThat(history.unchangedMs(0, 500)).isEqualTo(400);
        assertThat(history.unchangedMs(1_000, 500)).isEqualTo(1_400);
        observe(600, route("/a/", "second"));
        assertThat(history.unchangedMs(1_000, 650)).isEqualTo(50);
    }

    @Test
    void aRouteIsForgottenAfterTheRetentionTime() {
        observe(0, route("/a/", "old"));
        observe(1, route("/a/", "new"));
        observe(BuildHistory.RETENTION_MS + 2, route("/a/", "new"));

        assertThat(recentServices("/a/1", 0)).containsExactly("new");
    }
}
