package org.pimentovale.proof;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** A Java program in a process of its own; tests can wait for lines of its output. */
final class DaemonProcess implements AutoCloseable {
    private static final long AWAIT_TIMEOUT_MS = 20_000;
    static final int DEFAULT_HEAP_MEGABYTES = 256;

    private final Process process;
    private final List<String> lines = new ArrayList<>();

    private DaemonProcess(Process process) {
        this.process = process;
        Thread reader = new Thread(this::readLines, "output of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    static DaemonProcess start(Path directory, String mainClass, String... arguments) {
        return start(DEFAULT_HEAP_MEGABYTES, directory, mainClass, arguments);
    }

    static DaemonProcess start(int heapMegabytes, Path directory, String mainClass, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + heapMegabytes + "m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(List.of(arguments));
        try {
            return new DaemonProcess(new ProcessBuilder(command)
                    .directory(directory.toFile())
                    .redirectErrorStream(true)
                    .start());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private void readLines() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                    lines.notifyAll();
                }
            }
        } catch (IOException ended) {
            synchronized (lines) {
                lines.notifyAll();
            }
        }
    }

    /** Waits for a line that contains all parts and returns it; fails if there is none within the timeout. */
    String awaitLine(String... parts) {
        return awaitLine(0, line -> List.of(parts).stream().allMatch(line::contains));
    }

    String awaitLine(int firstPosition, Predicate<String> condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        synchronized (lines) {
            int position = firstPosition;
            while (true) {
                for (; position < lines.size(); position++) {
                    if (condition.test(lines.get(position))) {
                        return lines.get(position);
                    }
                }
                long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
                if (remainingMs <= 0) {
                    throw new AssertionError("no matching line of output within " + AWAIT_TIMEOUT_MS + " ms; output:\n"
                            + String.join("\n", lines));
                }
                try {
                    lines.wait(remainingMs);
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
        }
    }

    int lineCount() {
        synchronized (lines) {
            return lines.size();
        }
    }

    List<String> output() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    static int intValueOf(String line, String key) {
        int start = line.indexOf(key + "=") + key.length() + 1;
        return Integer.parseInt(line.substring(start).split(" ", 2)[0]);
    }

    long processId() {
        return process.pid();
    }

    void suspend() {
        signal("-STOP");
    }

    void resume() {
        signal("-CONT");
    }

    void terminate() {
        signal("-TERM");
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    int awaitExit() {
        try {
            if (!process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new AssertionError("process still running after " + AWAIT_TIMEOUT_MS + " ms");
            }
            return process.exitValue();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            process.destroyForcibly();
        }
    }
}
