package org.pimentovale.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/** The key that a listener demands. Immutable and thread safe. */
public final class AccessKey {
    private static final String SCHEME = "Bearer ";

    private final byte[] key;

    private AccessKey(byte[] key) {
        this.key = key;
    }

    /**
     * Reads a key file.
     *
     * @param file the file; white space around the key is ignored
     * @return the key
     * @throws ServingException with {@link ErrorCode#SETTINGS_INVALID} where the file is missing or empty
     */
    public static AccessKey read(String file) {
        try {
            byte[] key = Files.readString(Path.of(file)).strip().getBytes(StandardCharsets.UTF_8);
            if (key.length == 0) {
                throw ServingException.notRun(ErrorCode.SETTINGS_INVALID, "key file " + file + " is empty");
            }
            return new AccessKey(key);
        } catch (IOException failure) {
            throw ServingException.notRun(ErrorCode.SETTINGS_INVALID, "key file " + file + ": " + failure);
        }
    }

    /**
     * Compares a request's bearer token in constant time.
     *
     * @param request the request
     * @return whether it carries this key
     */
    public boolean matches(HttpServerRequest request) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.startsWith(SCHEME)) {
            return false;
        }
        return MessageDigest.isEqual(
                key, header.substring(SCHEME.length()).strip().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the header by which a client of the listener proves itself.
     *
     * @return the value of {@code Authorization}
     */
    public String authorizationHeader() {
        return SCHEME + new String(key, StandardCharsets.UTF_8);
    }
}
