import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the review's scripts share: the record, HTTP over plain sockets, and gateways as processes. Everything listens on
 * 127.0.0.1 with ports that the system chooses.
 */
final class Rig {
    static final String LOOPBACK = "127.0.0.1";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final long START_NANOS = System.nanoTime();
    private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static PrintWriter record;
    private static Path directory;

    private Rig() {}

    /** A case, which returns whether the rule held. */
    interface Scenario {
        boolean run() throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String recordFile, Scenario scenario) {
        int status = 2;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
            directory = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(Rig::endProcesses));
            note("trouble=" + (TROUBLE ? 1 : 0));
            status = scenario.run() ? 0 : 1;
        } catch (Exception failure) {
            failure.printStackTrace();
            note("the case could not run: " + failure);
        }
        note("result=" + (status == 0 ? "held" : status == 1 ? "broken" : "not run"));
        endProcesses();
        Runtime.getRuntime().halt(status);
    }

    private static synchronized void endProcesses() {
        PROCESSES.forEach(Process::destroyForcibly);
        PROCESSES.forEach(process -> process.onExit().join());
        PROCESSES.clear();
        if (directory != null) {
            try (Stream<Path> files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException failure) {
                System.err.println("not removed: " + directory);
            }
            directory = null;
        }
    }

    /** Returns the time since the start of the case in milliseconds. */
    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    static void sleepUntil(long timeMs) throws InterruptedException {
        long leftMs = timeMs - nowMs();
        if (leftMs > 0) {
            Thread.sleep(leftMs);
        }
    }

    /** Writes a line with the time to the record. */
    static synchronized void note(String line) {
        String text = String.format(Locale.ROOT, "%8.3f s  %s", nowMs() / 1000.0, line);
        System.out.println(text);
        if (record != null) {
            record.println(text);
            record.flush();
        }
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception ended) {
                        // The peer closed its connection, or the case has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1024, InetAddress.getByName(LOOPBACK));
    }

    /** Returns a free port, each one once, of a range that is not used for outgoing connections, which are many. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!GIVEN_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // Another port is tried.
            }
        }
    }

    /** A request or a response; the first line is split at spaces. */
    record Message(String[] first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message, null at the end of the connection. */
    static Message read(InputStream in, boolean untilClose) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("content-length")) {
            copy(in, body, Integer.parseInt(headers.get("content-length")));
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = readSize(in); size > 0; size = readSize(in)) {
                copy(in, body, size);
                readLine(in);
            }
            readLine(in);
        } else if (untilClose) {
            in.transferTo(body);
        }
        return new Message(line.split(" ", 3), headers, body.toByteArray());
    }

    private static int readSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new IOException("connection ended inside a body");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, OutputStream out, int length) throws IOException {
        byte[] part = in.readNBytes(length);
        if (part.length < length) {
            throw new IOException("connection ended inside a body");
        }
        out.write(part);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String first, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    /** Sends one request over a new connection; returns null if it ends without a complete response. */
    static Message send(int port, String method, String path, List<String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", headers, body);
            return read(new BufferedInputStream(socket.getInputStream()), true);
        } catch (IOException failure) {
            return null;
        }
    }

    /** A gateway process. */
    static final class Gateway {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        private final int peers = freePort();
        private final String zone;
        private final int store;
        private Process process;

        Gateway(String name, String zone, int store) {
            this.name = name;
            this.zone = zone;
            this.store = store;
        }

        /** Starts the command of the deploy file in the current folder, which is the project's root. */
        void start() throws IOException {
            Path settings = directory.resolve(name + ".toml");
            Files.writeString(
                    settings,
                    Files.readString(Path.of("deploy/gateway.toml.template"))
                            .replace("{{nodeName|json}}", '"' + name + '"')
                            .replace("{{zone|json}}", '"' + zone + '"')
                            .replace("{{platform.address|json}}", '"' + LOOPBACK + ":" + store + '"')
                            .replace("{{listen.front|json}}", '"' + LOOPBACK + ":" + callers + '"')
                            .replace("{{listen.ready|json}}", '"' + LOOPBACK + ":" + readiness + '"')
                            .replace("{{ip}}:{{portRange.0}}", LOOPBACK + ":" + peers)
                            .replace("{{bounds.graceS}}", "8")
                            .replace("{{bounds.retryRatio}}", "0.2")
                            .replace("{{bounds.retrySlack}}", "52")
                            .replace("{{bounds.retryWindowS}}", "10"));
            String command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            List<String> words = Stream.of(command.split(" "))
                    .map(word -> word.equals("/etc/pimentovale/boot.toml") ? settings.toString() : word)
                    .toList();
            ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
            builder.environment().put("PIMENTOVALE_CONFIG", settings.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output().toFile()));
            process = builder.start();
            synchronized (Rig.class) {
                PROCESSES.add(process);
            }
            note(name + " started, pid " + process.pid());
        }

        Path output() {
            return directory.resolve(name + ".log");
        }

        /** Waits until the gateway says that it is ready. */
        void awaitReady(int timeoutMs) throws Exception {
            long endMs = nowMs() + timeoutMs;
            while (nowMs() < endMs) {
                Message answer = Rig.send(readiness, "GET", "/readiness", List.of("Host: ready"), new byte[0], 1_000);
                if (answer != null && answer.status() == 200) {
                    note(name + " is ready");
                    return;
                }
                Thread.sleep(50);
            }
            Files.readAllLines(output()).stream().limit(5).forEach(Rig::note);
            throw new IllegalStateException(name + " is not ready, process " + (alive() ? "runs" : "has ended"));
        }

        boolean alive() {
            return process.isAlive();
        }

        void kill() {
            process.destroyForcibly();
            process.onExit().join();
            note(name + " killed");
        }

        Message send(String method, String path, List<String> headers, byte[] body, int timeoutMs) {
            return Rig.send(callers, method, path, headers, body, timeoutMs);
        }
    }
}
