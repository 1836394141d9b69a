package org.pimentovale.store.http;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;

/** Guards against changes that accumulated in an outage and are never received, since they take longer than a call. */
class TimedHttpClientTest {
    private static final int TIMEOUT_MS = 200;
    private static final int BODY_MS = 600;

    private final Vertx vertx = Vertx.vertx();
    private int port;

    @BeforeEach
    void start() throws Exception {
        port = await(vertx.createHttpServer()
                        .requestHandler(request -> {
                            if (request.path().equals("/slow-body")) {
                                request.response().setChunked(true).write("begun ");
                                vertx.setTimer(
                                        BODY_MS, fired -> request.response().end("ended"));
                            }
                        })
                        .listen(0, "127.0.0.1"))
                .actualPort();
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private Future<HttpResponse> call(BodyLimit bodyLimit, String path) {
        TimedHttpClient client =
                new TimedHttpClient(vertx, vertx.createHttpClient(), ErrorCode.STORE_UNAVAILABLE, bodyLimit);
        HttpCall call = new HttpCall("127.0.0.1:" + port, HttpMethod.GET, path, Optional.empty(), TIMEOUT_MS);
        return client.call(call, MultiMap.caseInsensitiveMultiMap());
    }

    private static String outcome(Future<HttpResponse> call) throws Exception {
        return await(call.map(response -> response.body().toString()).otherwise("failed"));
    }

    @Nested
    class ABodyThatTakesLongerThanTheTimeout {
        @Test
        void isReceivedIfItConsistsOfStoredObjects() throws Exception {
            assertThat(outcome(call(BodyLimit.STORED_OBJECTS, "/slow-body"))).isEqualTo("begun ended");
        }

        @Test
        void failsOtherCalls() throws Exception {
            assertThat(outcome(call(BodyLimit.MESSAGES, "/slow-body"))).isEqualTo("failed");
            assertThat(outcome(call(BodyLimit.SHORT_RESPONSES, "/slow-body"))).isEqualTo("failed");
        }
    }

    @Nested
    class ACallWithoutResponse {
        @Test
        void failsAtItsTimeout() throws Exception {
            long startedNs = System.nanoTime();

            assertThat(outcome(call(BodyLimit.STORED_OBJECTS, "/silent"))).isEqualTo("failed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs))
                    .isLessThan(BodyLimit.STORED_OBJECTS.extraTimeMs());
        }
    }
}
