package org.pimentovale.daemon.settings;

import java.util.Optional;

/**
 * Where a listener answers, and what it demands. Immutable and thread safe.
 *
 * @param host the IP number to listen on
 * @param port the TCP port, zero for one that the system chooses
 * @param keyFile the file that holds the listener's key
 * @param certificateFile PEM file of the TLS certificate; TLS is on where it is given
 * @param privateKeyFile PEM file of the TLS key
 */
public record ListenerSettings(
        String host,
        int port,
        Optional<String> keyFile,
        Optional<String> certificateFile,
        Optional<String> privateKeyFile) {}
