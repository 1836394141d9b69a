package org.pimentovale.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.limit.BodyMemory;

/** Guards against messages of other gateways that never end, or that fill the heap. */
class PeerMessagesTest {
    private static final int MEMORY_BYTES = 100_000;
    private static final String CLOSED = "closed";

    private final Vertx vertx = Vertx.vertx();
    private final Context eventLoop = vertx.getOrCreateContext();
    private final AtomicLong nowMs = new AtomicLong();
    private final BodyMemory memory = new BodyMemory(MEMORY_BYTES);
    private final PeerMessages messages = new PeerMessages(nowMs::get, memory);
    private final BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> sent = new LinkedBlockingQueue<>();
    private int port;

    @BeforeEach
    void start() throws Exception {
        Future<Integer> listening = Future.future(port -> eventLoop.runOnContext(run -> vertx.createHttpServer()
                .requestHandler(this::receive)
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort)
                .onComplete(port)));
        port = await(listening);
    }

    private void receive(HttpServerRequest http) {
        messages.receive(http, body -> {
            received.add(body.length());
            http.response().end();
        });
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static <T> T take(BlockingQueue<T> queue) throws Exception {
        return queue.poll(10, TimeUnit.SECONDS);
    }

    /** Sends a message of which only the first bytes may follow the head. */
    private void send(int announcedBytes, int sentBytes) throws Exception {
        NetSocket socket = await(vertx.createNetClient().connect(port, "127.0.0.1"));
        socket.handler(response -> sent.add(response.toString().substring(9, 12)));
        socket.closeHandler(closed -> sent.add(CLOSED));
        await(socket.write("POST /message HTTP/1.1\r\nHost: peer\r\nContent-Length: " + announcedBytes + "\r\n\r\n"
                + "x".repeat(sentBytes)));
    }

    private long reservedBytes() throws Exception {
        return await(Future.<Long>future(
                reserved -> eventLoop.runOnContext(run -> reserved.complete(memory.reservedBytes()))));
    }

    private void closeSilentAt(long ms) throws Exception {
        nowMs.set(ms);
        await(Future.future(done -> eventLoop.runOnContext(run -> {
            messages.closeSilent();
            done.complete();
        })));
    }

    @Nested
    class AMessage {
        @Test
        void isHandledOnceItIsWhole() throws Exception {
            send(3_000, 3_000);

            assertThat(take(received)).isEqualTo(3_000);
            assertThat(take(sent)).isEqualTo("200");
            assertThat(reservedBytes()).isEqualTo(0);
        }

        @Test
        void thatStopsInTheMiddleIsDroppedWithItsConnection() throws Exception {
            send(3_000, 1_000);
            while (reservedBytes() < 1_000) {
                Thread.onSpinWait();
            }
            closeSilentAt(PeerMessages.MAX_DURATION_MS);
            assertThat(reservedBytes()).isEqualTo(1_000);

            closeSilentAt(PeerMessages.MAX_DURATION_MS + 1);

            assertThat(take(sent)).isEqualTo(CLOSED);
            assertThat(reservedBytes()).isEqualTo(0);
        }

        @Test
        void forWhichThereIsNoMemoryIsRefused() throws Exception {
            send(2 * MEMORY_BYTES, 2 * MEMORY_BYTES);

            assertThat(take(sent)).isEqualTo("413");
            assertThat(reservedBytes()).isEqualTo(0);
            assertThat(received).isEmpty();
        }
    }
}
