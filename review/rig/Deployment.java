import java.util.List;

/** The configuration that the scripts use: a few routes of a small deployment. */
final class Deployment {
    static final String HOST = "jepu9.example";
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String SERVICE = "reservations";
    static final int MAX_BODY_BYTES = 4_194_304;
    static final int PLAN_TIMEOUT_MS = 8_000;
    static final int LOOKUP_TIMEOUT_MS = 3_000;

    private Deployment() {}

    /** Returns a configuration with routes for lookups, bookings and large plans. */
    static String configuration(int version, List<String> keys) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("lookup", "/lookup/", "idempotent", 2) + ","
                + route("booking", "/booking/", "non_idempotent", 1) + ","
                + route("plan", "/plan/", "non_idempotent", 1).replace("\"timeoutMs\":3000", "\"timeoutMs\":" + PLAN_TIMEOUT_MS)
                + "],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false,\"coldS\":0.0,"
                + "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + MAX_BODY_BYTES + ","
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"bozi300\",\"apiKeys\":[\""
                + String.join("\",\"", keys) + "\"],\"priority\":1}]}";
    }

    private static String route(String name, String prefix, String kind, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeoutMs\":3000,\"goalMs\":386,\"priority\":2,\"service\":\"" + SERVICE
                + "\",\"maxAttempts\":" + attempts + ",\"public\":false}";
    }

    /** Returns the headers of a client's request. */
    static List<String> headers(String attempt, String key) {
        return headers(attempt, key, LOOKUP_TIMEOUT_MS);
    }

    static List<String> headers(String attempt, String key, int deadlineMs) {
        return List.of(
                "Host: " + HOST,
                "X-Attempt-Id: " + attempt,
                "X-Deadline-Ms: " + deadlineMs,
                "Authorization: Bearer " + key);
    }
}
