package org.pimentovale.hash;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. Stateless and thread safe. */
public final class Sha256 {
    private Sha256() {}

    /**
     * Returns the digest of byte sequences, as if they were one.
     *
     * @param inputs the byte sequences
     * @return 64 hexadecimal digits
     */
    public static String hex(byte[]... inputs) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] input : inputs) {
                digest.update(input);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
