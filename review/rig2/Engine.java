import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of an engine. Arguments: port, id, events of a stream, milliseconds between them, bytes of another answer,
 * whether answers have no length ("unframed" or "framed"). Each run is written to the standard output.
 */
public final class Engine {
    private static final int SLOTS = 64;

    private final String id;
    private final int events;
    private final int pauseMs;
    private final int bytes;
    private final boolean unframed;

    private Engine(String[] arguments) {
        id = arguments[1];
        events = Integer.parseInt(arguments[2]);
        pauseMs = Integer.parseInt(arguments[3]);
        bytes = Integer.parseInt(arguments[4]);
        unframed = arguments[5].equals("unframed");
    }

    public static void main(String[] arguments) throws IOException {
        Engine engine = new Engine(arguments);
        ServerSocket listener =
                new ServerSocket(Integer.parseInt(arguments[0]), 256, InetAddress.getLoopbackAddress());
        while (true) {
            Socket socket = listener.accept();
            Thread thread = new Thread(() -> engine.serve(socket));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            while (serveOne(in, socket.getOutputStream())) {
                // The next request on the connection.
            }
        } catch (IOException | InterruptedException closed) {
            // The caller has left.
        }
    }

    private boolean serveOne(InputStream in, OutputStream out) throws IOException, InterruptedException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        head.toString().lines().skip(1).filter(line -> line.contains(":")).forEach(line -> headers.put(
                line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).trim()));
        long length = Long.parseLong(headers.getOrDefault("Content-Length", "0"));
        for (long left = length; left > 0; ) {
            long skipped = in.skip(left);
            if (skipped == 0 && in.read() < 0) {
                return false;
            }
            left -= Math.max(1, skipped);
        }
        String path = head.substring(0, head.indexOf("\r\n")).split(" ")[1];
        String attempt = headers.getOrDefault("X-Attempt-Id", "");
        if (path.equals("/health")) {
            write(out, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nX-Instance-Load: 0,0," + SLOTS
                    + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (headers.containsKey("X-Expect-Instance") && !headers.get("X-Expect-Instance").equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        System.out.println("run " + attempt + " body " + length + " at " + id);
        String common = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: stamp-" + id + "\r\n";
        boolean stream = path.startsWith("/stream/");
        if (stream) {
            stream(out, common);
        } else {
            answer(out, common);
        }
        System.out.println("done " + attempt + " at " + id);
        return !unframed;
    }

    /** Writes events with increasing ids; the last one says so. */
    private void stream(OutputStream out, String common) throws IOException, InterruptedException {
        write(out, common + "Content-Type: text/event-stream\r\n"
                + (unframed ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n"));
        for (int event = 1; event <= events; event++) {
            Thread.sleep(pauseMs);
            String text = "id: " + event + "\ndata: " + (event == events ? "last" : "piece " + event) + "\n\n";
            write(out, unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (!unframed) {
            write(out, "0\r\n\r\n");
        }
    }

    /** Writes a body in two halves, as an engine does that produces its answer piece by piece. */
    private void answer(OutputStream out, String common) throws IOException, InterruptedException {
        write(out, common + "Content-Type: application/octet-stream\r\n"
                + (unframed ? "Connection: close\r\n\r\n" : "Content-Length: " + bytes + "\r\n\r\n"));
        write(out, "x".repeat(bytes / 2));
        Thread.sleep((long) events * pauseMs);
        write(out, "x".repeat(bytes - bytes / 2));
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
