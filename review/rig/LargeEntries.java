import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer writes large entries of the kind of the engines, which name no engine; then an engine leaves. */
final class LargeEntries {
    private static final int ENTRIES = 24;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final long DRAIN_MS = 2_000;
    private static final long CHECK_MS = 4_000;

    private LargeEntries() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], LargeEntries::run);
    }

    private static boolean run() throws Exception {
        Store store = new Store(50);
        store.put("config", "main", Deployment.configuration(1, List.of(Deployment.KEY)));
        List<Engine> engines = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            engines.add(new Engine("i-" + number, Deployment.SERVICE, store, 60));
        }
        List<Rig.Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= 6; number++) {
            gateways.add(new Rig.Gateway("front-levis-" + number, "levis", store.open().port));
            gateways.get(number - 1).start();
        }
        for (Rig.Gateway gateway : gateways) {
            gateway.awaitReady(30_000);
        }
        Thread.sleep(4_000);
        if (Rig.TROUBLE) {
            String filler = "x".repeat(ENTRY_BYTES);
            for (int number = 0; number < ENTRIES; number++) {
                store.put("servers", "other-" + number, "{\"note\":\"" + filler + "\"}");
                Thread.sleep(4);
            }
            Rig.note(ENTRIES + " entries of " + ENTRY_BYTES + " bytes written, without the fields of an engine");
        }
        Thread.sleep(1_000);
        Engine leaving = engines.get(0);
        long leftMs = leaving.drain();
        Rig.note(leaving.id + " reports draining, acknowledged");
        Rig.sleepUntil(leftMs + DRAIN_MS + 50);
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Rig.Gateway gateway : gateways) {
            for (int client = 0; client < 6; client++) {
                String name = gateway.name + "-" + client;
                clients.add(Rig.start(name, () -> {
                    for (int number = 0; Rig.nowMs() < leftMs + DRAIN_MS + CHECK_MS; number++) {
                        Rig.Message answer = gateway.send(
                                "GET",
                                "/lookup/1",
                                Deployment.headers(name + "-" + number, Deployment.KEY),
                                new byte[0],
                                3_500);
                        if (answer != null && answer.status() == 200) {
                            served.incrementAndGet();
                        }
                    }
                }));
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        List<Engine.Arrival> late = leaving.arrivals().stream()
                .filter(arrival -> arrival.atMs() > leftMs + DRAIN_MS + 50)
                .toList();
        late.stream().limit(3).forEach(arrival -> Rig.note(leaving.id + " ran " + arrival.attempt() + " "
                + (arrival.atMs() - leftMs) + " ms after the acknowledgement"));
        long senders = late.stream()
                .map(arrival -> arrival.attempt().substring(0, arrival.attempt().indexOf('-', 12)))
                .distinct()
                .count();
        Rig.note("answered with success: " + served.get() + "; requests that " + leaving.id + " ran too late: "
                + late.size() + ", from " + senders + " of " + gateways.size() + " gateways");
        if (served.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        return late.isEmpty();
    }
}
