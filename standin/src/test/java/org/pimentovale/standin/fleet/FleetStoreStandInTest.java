package org.pimentovale.standin.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetStoreStandInTest {
    private static final String ORDER = "/objects/rollouts/desk";
    private static final String STATUS = ORDER + "/status";

    private final Vertx vertx = Vertx.vertx();
    private final FleetStoreStandIn store = new FleetStoreStandIn(vertx);
    /** A client that nothing refers to is closed by the garbage collector, also while its calls are in progress. */
    private final HttpClient client = vertx.createHttpClient();

    private int port;
    private long orderedAt;

    private record Answer(int status, JsonObject object) {
        JsonObject metadata() {
            return object.getJsonObject("metadata");
        }
    }

    @BeforeEach
    void start() {
        port = await(store.start());
        orderedAt = store.put("rollouts", "desk", new JsonObject().put("to", "v2"));
    }

    @AfterEach
    void stop() {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) {
        return await(future.toCompletionStage().toCompletableFuture());
    }

    private static <T> T await(CompletableFuture<T> future) {
        return future.orTimeout(5, TimeUnit.SECONDS).join();
    }

    private Future<Answer> send(HttpMethod method, String uri, JsonObject document) {
        return client.request(method, port, "127.0.0.1", uri)
                .compose(request -> request.send(document.toBuffer()))
                .compose(response -> response.body()
                        .map(body -> new Answer(
                                response.statusCode(), body.length() == 0 ? new JsonObject() : body.toJsonObject())));
    }

    private Future<Answer> writeStatus(String state, long revision) {
        return send(
                HttpMethod.PUT,
                STATUS,
                new JsonObject()
                        .put("metadata", new JsonObject().put("name", "desk").put("revision", revision))
                        .put("status", new JsonObject().put("state", state)));
    }

    private String state() {
        return store.status("rollouts", "desk")
                .map(status -> status.getString("state"))
                .orElse("none");
    }

    /** Guards against proofs of conditional writes that pass because the stand-in accepts any write. */
    @Nested
    class ConditionalWrites {
        @Test
        void ofAnOlderRevisionAreRefusedWithTheObject() {
            assertThat(await(writeStatus("running", orderedAt)).status()).isEqualTo(200);

            Answer refused = await(writeStatus("completed", orderedAt));

            assertThat(refused.status()).isEqualTo(409);
            assertThat(refused.object().getJsonObject("status").getString("state"))
                    .isEqualTo("running");
            assertThat(refused.metadata().getLong("createRevision")).isEqualTo(orderedAt);
            assertThat(await(writeStatus("completed", refused.metadata().getLong("revision")))
                            .status())
                    .isEqualTo(200);
            assertThat(state()).isEqualTo("completed");
        }

        @Test
        void takeTheRevisionFromTheQueryToo() {
            JsonObject document = new JsonObject().put("spec", new JsonObject());

            assertThat(await(send(HttpMethod.PUT, ORDER + "?revision=1", document))
                            .status())
                    .isEqualTo(409);
            assertThat(await(send(HttpMethod.PUT, ORDER + "?revision=" + orderedAt, document))
                            .status())
                    .isEqualTo(200);
        }

        @Test
        void ofAMissingObjectAreRefused() {
            store.delete("rollouts", "desk");

            assertThat(await(writeStatus("running", orderedAt)).status()).isEqualTo(404);
        }

        @Test
        void ofTheSpecificationKeepTheStatus() {
            await(writeStatus("running", orderedAt));

            store.put("rollouts", "desk", new JsonObject().put("to", "v3"));

            assertThat(state()).isEqualTo("running");
        }
    }

    /** Guards against faults that do not happen, with which the proofs of lost and late writes would prove nothing. */
    @Nested
    class WriteFaults {
        private Future<Answer> writeWith(WriteFault fault) {
            CompletableFuture<StoreWrite> intercepted = store.interceptor().interceptNext(fault, StoreWrite::ofStatus);
            Future<Answer> answer = writeStatus("running", orderedAt);
            assertThat(await(intercepted).listenerPort()).isEqualTo(port);
            return answer;
        }

        @Test
        void applyOrLoseTheWriteAndItsAnswer() {
            assertThat(writeWith(WriteFault.LOSE_WRITE).isComplete()).isFalse();
            assertThat(state()).isEqualTo("none");

            Future<Answer> held = writeWith(WriteFault.HOLD_ANSWER);
            assertThat(state()).isEqualTo("running");
            assertThat(held.isComplete()).isFalse();
            store.interceptor().release();
            assertThat(await(held).status()).isEqualTo(200);
        }

        @Test
        void applyALateWriteOnlyIfItsConditionStillHolds() {
            writeWith(WriteFault.APPLY_LATE);
            store.putStatus("rollouts", "desk", new JsonObject().put("state", "rolled_back"));
            store.interceptor().release();
            assertThat(state()).isEqualTo("rolled_back");

            orderedAt = store.put("rollouts", "desk", new JsonObject().put("to", "v2"));
            writeWith(WriteFault.APPLY_LATE);
            store.interceptor().release();
            assertThat(state()).isEqualTo("running");
        }
    }
}
