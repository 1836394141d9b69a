package org.pimentovale.daemon.http;

import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import java.util.concurrent.TimeUnit;
import org.pimentovale.daemon.settings.ListenerSettings;

/** Creates the HTTP server options of the daemon's listeners. Stateless and thread safe. */
public final class ListenerOptions {
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_REQUEST_LINE_BYTES = 4 << 10;
    private static final int IDLE_TIMEOUT_S = 120;

    private ListenerOptions() {}

    /**
     * Creates the HTTP server options of a listener.
     *
     * @param settings settings of the listener
     * @return the options, with TLS if the settings contain a certificate file
     */
    public static HttpServerOptions create(ListenerSettings settings) {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(settings.host())
                .setPort(settings.port())
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setIdleTimeout(IDLE_TIMEOUT_S)
                .setIdleTimeoutUnit(TimeUnit.SECONDS)
                .setTcpNoDelay(true);
        settings.certificateFile().ifPresent(certificate -> options.setSsl(true)
                .setKeyCertOptions(new PemKeyCertOptions()
                        .setCertPath(certificate)
                        .setKeyPath(settings.privateKeyFile().orElseThrow())));
        return options;
    }
}
