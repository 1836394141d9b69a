package org.pimentovale.store.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.history.SilenceLimit;

/** Guards against changes that accumulated in an outage and are never received, since they take longer than a call. */
class TimedHttpClientTest {
    private static final int TIMEOUT_MS = 200;
    private static final int BODY_MS = 600;
    private static final int STEADY_PARTS = 3;

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
                            } else if (request.path().equals("/silent-body")) {
                                request.response().setChunked(true).write("begun ");
                            } else if (request.path().equals("/steady-body")) {
                                sendParts(request.response().setChunked(true), STEADY_PARTS);
                            }
                        })
                        .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private void sendParts(HttpServerResponse response, int parts) {
        if (parts == 0) {
            response.end("ended");
            return;
        }
        response.write("part ");
        vertx.setTimer(BODY_MS, fired -> sendParts(response, parts - 1));
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

    /** Guards against changes that stay unknown for seconds because a connection goes silent within a response. */
    @Nested
    class ABodyThatGoesSilent {
        /** The smallest time that the users' sites leave for noticing a silent connection and asking again. */
        private static final int STABLE_MS = 3_000;

        @Test
        void endsItsCallBeforeAChangeHasToBeKnown() throws Exception {
            for (BodyLimit bodyLimit : BodyLimit.values()) {
                long startedNs = System.nanoTime();

                assertThat(outcome(call(bodyLimit, "/silent-body"))).isEqualTo("failed");
                assertWithMessage(bodyLimit.name())
                        .that(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs))
                        .isLessThan(STABLE_MS - SilenceLimit.NEXT_REQUEST_MS);
            }
        }

        @Test
        void isNotTakenForOneWhoseBytesGoOnArriving() throws Exception {
            assertThat(outcome(call(BodyLimit.STORED_OBJECTS, "/steady-body"))).isEqualTo("part part part ended");
        }
    }

    @Nested
    class ACallWithoutResponse {
        @Test
        void failsAtItsTimeout() throws Exception {
            long startedNs = System.nanoTime();

            assertThat(outcome(call(BodyLimit.STORED_OBJECTS, "/silent"))).isEqualTo("failed");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs))
                    .isLessThan(BodyLimit.STORED_OBJECTS.time().extraMs());
        }
    }

    /** Guards against calls of a starting process that fail and are repeated while their responses wait to be read. */
    @Nested
    class ACallWhoseEventLoopIsBusy {
        private static final int CALL_TIMEOUT_MS = 600;
        private static final int BUSY_MS = 500;
        private static final int RESPONSE_MS = 50;

        @Test
        void succeedsIfItsRequestWasSentLate() throws Exception {
            Vertx busy = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
            Context eventLoop = busy.getOrCreateContext();
            int slowPort = await(vertx.createHttpServer()
                            .requestHandler(request -> vertx.setTimer(
                                    RESPONSE_MS, fired -> request.response().end("late")))
                            .listen(0, "127.0.0.1"))
                    .actualPort();
            Promise<HttpResponse> response = Promise.promise();
            eventLoop.runOnContext(run -> {
                TimedHttpClient client = new TimedHttpClient(
                        busy, busy.createHttpClient(), ErrorCode.STORE_UNAVAILABLE, BodyLimit.STORED_OBJECTS);
                HttpCall call =
                        new HttpCall("127.0.0.1:" + slowPort, HttpMethod.GET, "/", Optional.empty(), CALL_TIMEOUT_MS);
                client.call(call, MultiMap.caseInsensitiveMultiMap()).onComplete(response);
                // The connection is open before the event loop sends the request, and by then the timeout is over.
                block(CALL_TIMEOUT_MS + BUSY_MS);
            });

            assertThat(await(response.future()).body().toString()).isEqualTo("late");
            await(busy.close());
        }

        private static void block(long durationMs) {
            long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
            while (System.nanoTime() < endNs) {
                Thread.onSpinWait();
            }
        }
    }
}
