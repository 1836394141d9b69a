package org.pimentovale.daemon.claim;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * The stored record of the last restore after which all live instances have written their claims again. Immutable and
 * thread safe.
 *
 * @param schema the version of the stored format
 * @param era the era that began with the restore
 * @param restoredBeforeMs wall-clock time in milliseconds since 1970, at which the restore was over
 */
record SettledRestore(int schema, long era, long restoredBeforeMs) {
    static final int SCHEMA = 1;

    static SettledRestore parse(byte[] bytes) {
        SettledRestore settled = Json.read(bytes, SettledRestore.class);
        if (settled.schema != SCHEMA) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "settled restore of schema " + settled.schema);
        }
        return settled;
    }
}
