package org.pimentovale.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.pimentovale.json.Json;

/** Helper methods shared by the measurements. Stateless and thread safe. */
final class Measurement {
    private Measurement() {}

    /** Requests a garbage collection and returns the bytes in use on the heap. */
    static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Writes a result to a file as indented JSON. */
    static void writeJson(String file, Object result) {
        try {
            Files.writeString(Path.of(file), Json.writeIndented(result));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
