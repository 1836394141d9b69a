package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * What a gateway tells others of its contact with the store, as the header {@code Store-Contact}:
 * {@code ERA;KIND=REVISION/AGE_MS,...}. Immutable and thread safe.
 *
 * @param era the store's era
 * @param kinds the contact by kind, each kind at most once
 */
public record ContactReport(long era, List<KindContact> kinds) {
    private static final int MAX_CHARACTERS = 1_000;

    /**
     * The contact of one kind.
     *
     * @param kind the kind
     * @param changedRevision the revision of the last change that the gateway knows
     * @param ageMs the age of the store's last statement that there is no later one, in milliseconds
     */
    public record KindContact(ObjectKind kind, long changedRevision, long ageMs) {}

    /** Copies the list. */
    public ContactReport {
        kinds = List.copyOf(kinds);
    }

    /**
     * Returns the revision of the last change of a kind.
     *
     * @param contact the contact of the kind
     * @return the revision in this report's era
     */
    StoreRevision revision(KindContact contact) {
        return new StoreRevision(era, contact.changedRevision());
    }

    /** Returns the value of the header. */
    String encode() {
        List<String> parts = kinds.stream()
                .map(kind -> kind.kind() + "=" + kind.changedRevision() + "/" + kind.ageMs())
                .toList();
        return era + ";" + String.join(",", parts);
    }

    /**
     * Decodes a header. Kinds that this gateway does not know are left out.
     *
     * @param header the value
     * @return the report, empty if the value is malformed
     */
    static Optional<ContactReport> decode(String header) {
        int eraEnd = header.indexOf(';');
        if (eraEnd < 0 || header.length() > MAX_CHARACTERS) {
            return Optional.empty();
        }
        try {
            List<KindContact> kinds = new ArrayList<>();
            for (String part : header.substring(eraEnd + 1).split(",")) {
                decodeKind(part).ifPresent(kinds::add);
            }
            return Optional.of(new ContactReport(Long.parseLong(header.substring(0, eraEnd)), kinds));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static Optional<KindContact> decodeKind(String part) {
        String[] fields = part.split("[=/]", -1);
        if (fields.length != 3) {
            throw new IllegalArgumentException("three fields expected: " + part);
        }
        long revision = Long.parseLong(fields[1]);
        long ageMs = Long.parseLong(fields[2]);
        if (revision < 0 || ageMs < 0) {
            throw new IllegalArgumentException("negative number: " + part);
        }
        for (ObjectKind kind : ObjectKind.values()) {
            if (kind.name().equals(fields[0])) {
                return Optional.of(new KindContact(kind, revision, ageMs));
            }
        }
        return Optional.empty();
    }
}
