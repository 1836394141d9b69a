package org.pimentovale.standin.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/**
 * Stand-in for an endpoint whose responses are written byte by byte, and whose connections are closed or reset, by a
 * script.
 *
 * <p>It uses blocking sockets, since a reset is chosen for each connection. Each connection carries one exchange,
 * unless its script reads further requests, on a thread of its own. Thread safe if the script is.
 */
public final class SocketEndpoint implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SocketEndpoint.class);
    private static final int BACKLOG = 256;
    private static final int READ_BYTES = 16 * 1_024;

    private final ServerSocket listener = new ServerSocket();
    private final Script script;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /** Writes the response to one request. */
    public interface Script {
        /**
         * Handles a request. The connection is closed when this method returns, unless it was reset.
         *
         * @param exchange the request and its connection
         * @throws IOException if the caller has closed the connection, which ends the exchange
         */
        void answer(Exchange exchange) throws IOException;
    }

    /** One request on its connection. Not thread safe. */
    public static final class Exchange {
        private final Socket socket;
        private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        private String requestLine = "";

        private Exchange(Socket socket) {
            this.socket = socket;
        }

        private void readHead() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            InputStream input = socket.getInputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("the connection ended inside the head of the request");
                }
                head.write(next);
            }
            String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n", -1);
            requestLine = lines[0];
            for (int line = 1; line < lines.length; line++) {
                int colon = lines[line].indexOf(':');
                if (colon > 0) {
                    headers.put(
                            lines[line].substring(0, colon).toLowerCase(Locale.ROOT),
                            lines[line].substring(colon + 1).trim());
                }
            }
        }

        /**
         * Reads the head of the next request on the same connection, once the body of the present one has been read.
         *
         * @throws IOException if the connection ends before
         */
        public void readNext() throws IOException {
            headers.clear();
            readHead();
        }

        /**
         * Returns the last segment of the request's path.
         *
         * @return the text after the last slash
         */
        public String lastPathSegment() {
            String path = requestLine.split(" ", -1)[1];
            return path.substring(path.lastIndexOf('/') + 1);
        }

        /**
         * Returns a header of the request.
         *
         * @param name the header's name
         * @return its value, empty text if there is none
         */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /**
         * Reads the body of a request that has a length.
         *
         * @throws IOException if the connection ends before
         */
        public void readBody() throws IOException {
            readBody(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }

        /**
         * Reads a part of the body.
         *
         * @param bytes how many bytes are read
         * @throws IOException if the connection ends before
         */
        public void readBody(int bytes) throws IOException {
            byte[] part = new byte[READ_BYTES];
            int left = bytes;
            while (left > 0) {
                int read = socket.getInputStream().read(part, 0, Math.min(left, part.length));
                if (read < 0) {
                    throw new IOException("the connection ended inside the body of the request");
                }
                left -= read;
            }
        }

        /**
         * Writes a part of the response.
         *
         * @param text the bytes, as ISO 8859-1
         * @throws IOException if the caller has closed the connection
         */
        public void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /**
         * Ends the connection with a TCP reset.
         *
         * @throws IOException if the connection cannot be closed
         */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /**
     * Creates an endpoint that listens on an ephemeral port.
     *
     * @param receiveBufferBytes the size of the sockets' receive buffers, in bytes; the system may choose a larger one
     * @param script writes the responses
     * @throws IOException if no port can be bound
     */
    public SocketEndpoint(int receiveBufferBytes, Script script) throws IOException {
        this.script = script;
        listener.setReceiveBufferSize(receiveBufferBytes);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
        start("socket-endpoint", this::accept);
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
                start("socket-endpoint-exchange", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Exchange exchange = new Exchange(socket);
            exchange.readHead();
            script.answer(exchange);
        } catch (IOException ended) {
            LOG.debugf("an exchange ended: %s", ended.getMessage());
        } finally {
            connections.remove(socket);
        }
    }

    /**
     * Returns the port of the listener.
     *
     * @return the TCP port on the loopback address
     */
    public int port() {
        return listener.getLocalPort();
    }

    /** Takes no connections any more, from the return of this method; those that are open end with their scripts. */
    public void closeListener() {
        int closedPort = port();
        try {
            listener.close();
            // The thread that waits for connections keeps the listener open until it has noticed.
            while (accepts(closedPort)) {
                Thread.onSpinWait();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static boolean accepts(int port) throws IOException {
        try (Socket attempt = new Socket()) {
            attempt.connect(new InetSocketAddress("127.0.0.1", port));
            return true;
        } catch (ConnectException refused) {
            return false;
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : connections) {
                socket.close();
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
