package org.pimentovale.gateway.warmup;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.gateway.port.StageCodec;

/** A stub endpoint that responds to warm-up requests immediately. Not thread safe; used on one event loop. */
final class JitWarmupEndpoint {
    private static final int EVENTS = 6;
    private static final String EVENT = "data: rehearsal\n\n";

    private final HttpServer server;
    private final EndpointCodec endpointCodec;
    private final StageCodec stageCodec;

    JitWarmupEndpoint(Vertx vertx, EndpointCodec endpointCodec, StageCodec stageCodec) {
        this.server = vertx.createHttpServer(
                new HttpServerOptions().setHost(JitWarmup.HOST).setPort(0));
        this.endpointCodec = endpointCodec;
        this.stageCodec = stageCodec;
    }

    Future<String> start() {
        return server.requestHandler(this::respond).listen().map(opened -> JitWarmup.HOST + ":" + opened.actualPort());
    }

    private void respond(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            if (request.path().equals(stageCodec.runPath())) {
                String address = JitWarmup.HOST + ":" + server.actualPort();
                request.response().end(stageCodec.sampleResults(body, address));
            } else if (request.path().equals(stageCodec.releasePath())) {
                request.response().end();
            } else {
                request.response().headers().addAll(endpointCodec.sampleResponseHeaders(request.headers()));
                request.response().setChunked(true);
                for (int event = 0; event < EVENTS; event++) {
                    request.response().write(Buffer.buffer(EVENT));
                }
                request.response().end();
            }
        });
    }

    Future<Void> close() {
        return server.close();
    }
}
