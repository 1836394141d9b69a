import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Starts and ends the processes of a case, and keeps its record. Thread safe where it says so. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    private final List<Process> processes = new ArrayList<>();
    private final StringBuilder record = new StringBuilder();
    private final long startedNanos = System.nanoTime();
    private final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Rig() throws IOException {
        folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Writes a line to the record and to the standard output. Thread safe. */
    synchronized void note(String text) {
        String line = String.format("%8.3f s  %s", (System.nanoTime() - startedNanos) / 1e9, text);
        record.append(line).append('\n');
        System.out.println(line);
    }

    /** Returns a port that was free a moment ago, each one once. */
    static synchronized int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (GIVEN_PORTS.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    /** Starts a stand-in, whose class is a main program beside this one. */
    Process standIn(String mainClass, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                "java", "-Xmx512m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(List.of(arguments));
        return start(new ProcessBuilder(command), mainClass + "-" + String.join("-", arguments).replaceAll("[^a-z0-9-]", ""));
    }

    private synchronized Process start(ProcessBuilder builder, String name) throws IOException {
        File output = folder.resolve(name + "-" + processes.size() + ".log").toFile();
        Process process = builder.redirectErrorStream(true).redirectOutput(output).start();
        processes.add(process);
        return process;
    }

    /** Starts a gateway with the command and the template of the deploy file; the parameters are settings by name. */
    Process gateway(Map<String, String> values) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String run = deploy.lines().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String template = Files.readString(Path.of("deploy/gateway.toml.template"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            template = template.replace("{{" + value.getKey() + "|json}}", "\"" + value.getValue() + "\"")
                    .replace("{{" + value.getKey() + "}}", value.getValue());
        }
        Path settings = folder.resolve(values.get("nodeName") + ".toml");
        Files.writeString(settings, template);
        List<String> command = new ArrayList<>();
        for (String word : run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")) {
            command.add(word.equals("/etc/pimentovale/boot.toml") ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GATEWAY_LINK_MBPS", "1000");
        builder.environment().put("GATEWAY_STORE_READS_PER_S", "2000");
        return start(builder, values.get("nodeName"));
    }

    /** Returns the settings of a gateway as in the pages' example, with ports of this machine. */
    static Map<String, String> settings(String name, String zone, int storePort, int front, int ready, int peers) {
        Map<String, String> values = new TreeMap<>();
        values.put("nodeName", name);
        values.put("zone", zone);
        values.put("platform.address", "127.0.0.1:" + storePort);
        values.put("listen.front", "127.0.0.1:" + front);
        values.put("listen.ready", "127.0.0.1:" + ready);
        values.put("ip", "127.0.0.1");
        values.put("portRange.0", Integer.toString(peers));
        values.put("bounds.graceS", "8");
        values.put("bounds.retryRatio", "0.2");
        values.put("bounds.retrySlack", "56");
        values.put("bounds.retryWindowS", "10");
        return values;
    }

    /** Waits until a process listens and answers a GET with 200. */
    static void awaitReady(int port, String path, long timeoutMs) throws Exception {
        long end = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < end) {
            try {
                if (request(port, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0], 2_000)
                        .status == 200) {
                    return;
                }
            } catch (IOException refused) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("port " + port + " is not ready within " + timeoutMs + " ms");
    }

    /** Writes an object to the store, as the operator or an engine does. */
    static void store(int port, String method, String path, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Answer answer = request(
                port,
                method + " " + path + " HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n",
                bytes,
                5_000);
        if (answer.status >= 300) {
            throw new IOException(method + " " + path + ": status " + answer.status);
        }
    }

    /** What a client got for a request. */
    static final class Answer {
        int status;
        String head = "";
        byte[] body = new byte[0];
        /** Whether the body ended as its framing says. */
        boolean complete;
        String failure = "";

        String header(String name) {
            return head.lines()
                    .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse("");
        }
    }

    static Answer request(int port, String head, byte[] body, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return read(socket);
        }
    }

    /** Reads one answer; a body that does not end as its framing says is marked as incomplete. */
    static Answer read(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Answer answer = new Answer();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection ended in the head");
            }
            head.append((char) next);
        }
        answer.head = head.toString();
        answer.status = Integer.parseInt(answer.head.split(" ")[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (answer.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                answer.complete = readChunks(in, body);
            } else if (!answer.header("Content-Length").isEmpty()) {
                int length = Integer.parseInt(answer.header("Content-Length"));
                byte[] bytes = in.readNBytes(length);
                body.write(bytes);
                answer.complete = bytes.length == length;
            } else {
                in.transferTo(body);
                answer.complete = true;
            }
        } catch (IOException broken) {
            answer.failure = broken.toString();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            StringBuilder line = new StringBuilder();
            int next;
            while ((next = in.read()) != '\n') {
                if (next < 0) {
                    return false;
                }
                line.append((char) next);
            }
            int length = Integer.parseInt(line.toString().trim(), 16);
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length || in.readNBytes(2).length < 2) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    /** Returns the lines of all logs in which a text occurs. */
    List<String> logLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".log")).sorted().toList()) {
                Files.readAllLines(file, StandardCharsets.ISO_8859_1).stream()
                        .filter(line -> line.contains(text))
                        .forEach(lines::add);
            }
        }
        return lines;
    }

    private synchronized void endProcesses() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Writes the record to a file. */
    void save(Path file) throws IOException {
        Files.writeString(file, record.toString());
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
