package org.pimentovale.gateway.endpoint;

import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.Locale;

/** Tells whether a process listens at an address. Thread safe. */
public final class ConnectionProbe {
    private static final String REFUSED = "refused";

    private final NetClient client;

    /**
     * Creates a probe.
     *
     * @param client opens connections, within its time-out
     */
    public ConnectionProbe(NetClient client) {
        this.client = client;
    }

    /**
     * Opens a connection and closes it again.
     *
     * @param address host and port, as {@code host:port}
     * @return whether the connection was refused, as by a process that has ended; false if it was accepted or nothing
     *     is known, for instance after a time-out; never fails
     */
    public Future<Boolean> refuses(String address) {
        int colon = address.lastIndexOf(':');
        return client.connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .map(ConnectionProbe::closeAccepted)
                .otherwise(ConnectionProbe::isRefusal);
    }

    private static boolean closeAccepted(NetSocket socket) {
        socket.close();
        return false;
    }

    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException
                && String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT).contains(REFUSED);
    }
}
