import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An engine leaves right after two gateways, which the store had left without an answer, are in touch again. */
final class LateGrace extends SilentStore {
    private static final long DRAIN_MS = 2_000;
    private static final long CHECK_MS = 1_200;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], () -> new LateGrace().run());
    }

    @Override
    void prepare(int round) throws Exception {
        if (round == 0) {
            store.put("config", "main", Deployment.configuration(1, List.of(Deployment.KEY)));
        } else {
            engines.add(new Engine("j-" + round, Deployment.SERVICE, store, 20));
        }
    }

    @Override
    void duringSilence(int round) {}

    @Override
    int check(int round, List<Rig.Gateway> returned, long inTouchMs) throws Exception {
        Engine leaving = engines.remove(engines.size() - 1);
        Thread.sleep(20);
        long leftMs = leaving.leave();
        Rig.note(leaving.id + " leaves: its entry is removed, " + (leftMs - inTouchMs) + " ms after the gateways are in touch");
        long boundMs = leftMs + DRAIN_MS + 20;
        Rig.sleepUntil(boundMs);
        List<Thread> clients = new ArrayList<>();
        for (Rig.Gateway gateway : returned) {
            for (int client = 0; client < 12; client++) {
                String name = gateway.name + "-" + round + "-" + client;
                clients.add(Rig.start(name, () -> {
                    for (int number = 0; Rig.nowMs() < boundMs + CHECK_MS; number++) {
                        gateway.send(
                                "GET",
                                "/lookup/1",
                                Deployment.headers(name + "-" + number, Deployment.KEY),
                                new byte[0],
                                3_500);
                        Thread.sleep(10);
                    }
                }));
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        List<Engine.Arrival> late = leaving.arrivals().stream()
                .filter(arrival -> arrival.atMs() > boundMs)
                .toList();
        String latest = late.stream()
                .max(Comparator.comparingLong(Engine.Arrival::atMs))
                .map(arrival -> ", the last one " + arrival.attempt() + ", " + (arrival.atMs() - leftMs)
                        + " ms after its removal was acknowledged")
                .orElse("");
        Rig.note("requests that " + leaving.id + " ran too late: " + late.size() + latest);
        return late.size();
    }
}
