import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/**
 * Passes connections on to a server. Once asked, it lets the connection with the next answer to a chosen request go silent
 * for good, after a part of that answer; other connections work on. Thread safe.
 */
final class Proxy {
    private static final int BUFFER_BYTES = 1 << 16;

    private final ServerSocket listener;
    private final int serverPort;
    private volatile String chosen = "";
    private volatile int passedBytes;
    private volatile CompletableFuture<Long> silentNanos = new CompletableFuture<>();

    Proxy(int serverPort) throws IOException {
        this.serverPort = serverPort;
        this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Chooses the next answer of more bytes to a request whose line begins so; returns when its connection went silent. */
    CompletableFuture<Long> silence(String requestLine, int bytesOfAnswer) {
        passedBytes = bytesOfAnswer;
        silentNanos = new CompletableFuture<>();
        chosen = requestLine;
        return silentNanos;
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = listener.accept();
                Socket server = new Socket();
                server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort));
                caller.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Connection connection = new Connection(caller, server);
                daemon(connection::passRequests);
                daemon(connection::passAnswers);
            }
        } catch (IOException closed) {
            // The case has ended.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private final class Connection {
        private final Socket caller;
        private final Socket server;
        private volatile String requestLine = "";
        private volatile boolean silent;

        private Connection(Socket caller, Socket server) {
            this.caller = caller;
            this.server = server;
        }

        private void passRequests() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = caller.getInputStream();
                OutputStream out = server.getOutputStream();
                for (int length; (length = in.read(buffer)) >= 0; ) {
                    if (silent) {
                        return;
                    }
                    requestLine = new String(buffer, 0, Math.min(length, 200), StandardCharsets.ISO_8859_1);
                    out.write(buffer, 0, length);
                }
                close();
            } catch (IOException ended) {
                close();
            }
        }

        private void passAnswers() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = server.getInputStream();
                OutputStream out = caller.getOutputStream();
                for (int length; (length = in.read(buffer)) >= 0; ) {
                    if (!chosen.isEmpty() && requestLine.startsWith(chosen) && length > passedBytes) {
                        chosen = "";
                        silent = true;
                        out.write(buffer, 0, Math.min(length, passedBytes));
                        out.flush();
                        silentNanos.complete(System.nanoTime());
                        return;
                    }
                    out.write(buffer, 0, length);
                }
                close();
            } catch (IOException ended) {
                close();
            }
        }

        private void close() {
            if (silent) {
                return;
            }
            try {
                caller.close();
                server.close();
            } catch (IOException ignored) {
                // Closed already.
            }
        }
    }
}
