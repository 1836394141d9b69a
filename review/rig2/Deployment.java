import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.ConcurrentHashMap;

/** A store, one or more gateways and engines, started as separate processes. */
final class Deployment {
    final Rig rig;
    final int storePort;
    final List<Integer> fronts = new ArrayList<>();
    final List<Process> gateways = new ArrayList<>();
    final Map<String, Process> engines = new HashMap<>();
    private final Map<String, String> entries = new HashMap<>();
    private final Map<String, String> states = new ConcurrentHashMap<>();
    private final Set<String> left = ConcurrentHashMap.newKeySet();
    private long sequence;

    Deployment(Rig rig) throws Exception {
        this.rig = rig;
        storePort = Rig.freePort();
        rig.standIn("Store", Integer.toString(storePort));
        Rig.awaitReady(storePort, "/objects/config", 20_000);
    }

    /** Starts an engine and lists it as ready, with a heartbeat each 1,200 ms. */
    int engine(String id, String service, String zone, int slots, String... behaviour) throws Exception {
        int port = Rig.freePort();
        List<String> arguments = new ArrayList<>(List.of(Integer.toString(port), id));
        arguments.addAll(List.of(behaviour));
        engines.put(id, rig.standIn("Engine", arguments.toArray(new String[0])));
        Rig.awaitReady(port, "/health", 20_000);
        entries.put(id, "\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"coldLeftMs\":0,\"born\":" + System.currentTimeMillis());
        beat("POST", id, "ready");
        return port;
    }

    private synchronized void beat(String method, String id, String state) throws IOException {
        if (left.contains(id)) {
            return;
        }
        String path = "/objects/servers" + (method.equals("POST") ? "" : "/" + id);
        Rig.store(storePort, method, path, "{\"metadata\":{\"name\":\"" + id + "\"},\"spec\":{" + entries.get(id)
                + ",\"state\":\"" + state + "\",\"seq\":" + (++sequence) + "}}");
    }

    /** Lets all live engines write their entries as the pages say. */
    void startHeartbeats() {
        new Timer("heartbeats", true).schedule(new TimerTask() {
            @Override
            public void run() {
                for (Map.Entry<String, Process> engine : engines.entrySet()) {
                    try {
                        if (engine.getValue().isAlive() && !left.contains(engine.getKey())) {
                            beat("PUT", engine.getKey(), states.getOrDefault(engine.getKey(), "ready"));
                        }
                    } catch (IOException lost) {
                        // The next heartbeat follows.
                    }
                }
            }
        }, 1_200, 1_200);
    }

    /** Lets an engine report a state, now and with its later heartbeats. */
    void report(String id, String state) throws IOException {
        states.put(id, state);
        beat("PUT", id, state);
    }

    /** Removes the entry of an engine, which goes on serving and writes no entry any more. */
    void remove(String id) throws IOException {
        left.add(id);
        synchronized (this) {
            Rig.store(storePort, "DELETE", "/objects/servers/" + id, "");
        }
    }

    void configure(String spec) throws IOException {
        Rig.store(storePort, "POST", "/objects/config", "{\"metadata\":{\"name\":\"main\"},\"spec\":" + spec + "}");
    }

    void gateway(String name) throws Exception {
        gateway(name, "zona-lago", storePort);
    }

    /** Starts a gateway of a zone that reaches the store at another port, for instance a proxy's. */
    void gateway(String name, String zone, int storeAddressPort) throws Exception {
        int front = Rig.freePort();
        int ready = Rig.freePort();
        int peers = Rig.freePort();
        gateways.add(rig.gateway(Rig.settings(name, zone, storeAddressPort, front, ready, peers)));
        fronts.add(front);
        Rig.awaitReady(ready, "/readiness", 30_000);
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMs, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"show.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"service\":\"" + service + "\",\"timeoutMs\":" + timeoutMs + ",\"goalMs\":1400,\"priority\":2,"
                + "\"maxAttempts\":" + attempts + ",\"public\":true}";
    }

    static String configuration(String routes, String... services) {
        StringBuilder list = new StringBuilder();
        for (String service : services) {
            list.append(list.length() == 0 ? "" : ",").append("{\"name\":\"").append(service)
                    .append("\",\"healthPath\":\"/health\",\"coldPerS\":9.3}");
        }
        return "{\"version\":1,\"routes\":[" + routes + "],\"services\":[" + list + "],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}";
    }
}
