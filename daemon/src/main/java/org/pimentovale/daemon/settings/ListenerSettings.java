package org.pimentovale.daemon.settings;

import java.util.Optional;

/**
 * Address, access key and TLS files of a listener. Immutable and thread safe.
 *
 * @param host the IP address to bind to
 * @param port the TCP port, zero for an ephemeral port
 * @param keyFile file with the access key that requests must send, empty if none is required
 * @param certificateFile PEM file of the TLS certificate; TLS is on if it is present
 * @param privateKeyFile PEM file of the private key of the certificate
 */
public record ListenerSettings(
        String host,
        int port,
        Optional<String> keyFile,
        Optional<String> certificateFile,
        Optional<String> privateKeyFile) {}
