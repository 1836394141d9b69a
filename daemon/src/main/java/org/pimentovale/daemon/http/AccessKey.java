package org.pimentovale.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/** The access key of a listener, sent as a bearer token. Immutable and thread safe. */
public final class AccessKey {
    private static final String SCHEME = "Bearer ";

    private final byte[] key;

    private AccessKey(byte[] key) {
        this.key = key;
    }

    /**
     * Reads an access key from a file.
     *
     * @param file path of the file; leading and trailing white space is ignored
     * @return the key
     * @throws ServingException with {@link ErrorCode#SETTINGS_INVALID} if the file cannot be read or is empty
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
     * Compares the bearer token of a request with this key in constant time.
     *
     * @param request request with or without an {@code Authorization} header
     * @return whether the request has this key
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
     * Returns the value of the {@code Authorization} header that a client of the listener sends.
     *
     * @return the key with its scheme
     */
    public String authorizationHeader() {
        return SCHEME + new String(key, StandardCharsets.UTF_8);
    }
}
