import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An engine leaves while a restarted gateway reads the list of engines page by page. The removal is later than the page
 * that holds the engine and earlier than the last page.
 */
final class LateList {
    private static final int ENGINES = 60;
    private static final int PAGE_SIZE = 50;
    private static final long STABLE_MS = 3_000;
    private static final long DRAIN_MS = 2_000;
    private static final int LINGER_MS = 8_000;
    private static final int CLIENTS = 120;

    private LateList() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], LateList::run);
    }

    private static boolean run() throws Exception {
        Store store = new Store(PAGE_SIZE);
        store.put("config", "main", Deployment.configuration(1, List.of(Deployment.KEY)));
        List<Engine> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new Engine(String.format("i-%04d", number), Deployment.SERVICE, store, 60));
        }
        Engine leaving = engines.get(7);
        List<Rig.Gateway> gateways = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            gateways.add(new Rig.Gateway("front-levis-" + number, "levis", store.open().port));
            gateways.get(number - 1).start();
        }
        for (Rig.Gateway gateway : gateways) {
            gateway.awaitReady(30_000);
        }
        Thread.sleep(STABLE_MS);

        Rig.Gateway restarted = gateways.get(0);
        AtomicLong leftMs = new AtomicLong(-1);
        long readMs = Rig.nowMs();
        if (Rig.TROUBLE) {
            store.onPage((kind, lastName) -> {
                if (kind.equals("servers") && leftMs.get() < 0 && lastName.compareTo(leaving.id) >= 0) {
                    leftMs.set(leaving.leave());
                    Rig.note(leaving.id + " leaves: its entry is removed after the page up to " + lastName);
                }
            });
            restarted.kill();
            restarted.start();
            readMs = Rig.nowMs();
            restarted.awaitReady(30_000);
        } else {
            leftMs.set(leaving.leave());
            Rig.note(leaving.id + " leaves: its entry is removed");
        }
        if (leftMs.get() < 0) {
            throw new IllegalStateException("the list had one page only");
        }
        long boundMs = Math.max(leftMs.get() + DRAIN_MS, readMs + STABLE_MS) + 50;
        Rig.note(leaving.id + " must get nothing from " + boundMs + " ms on, when " + restarted.name + " is in touch");
        Rig.sleepUntil(boundMs);
        AtomicLong served = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            String name = "c" + client;
            clients.add(Rig.start(name, () -> {
                for (int request = 0; Rig.nowMs() < leftMs.get() + LINGER_MS - 500; request++) {
                    Rig.Message answer = restarted.send(
                            "GET",
                            "/lookup/" + name,
                            Deployment.headers(name + "-" + request, Deployment.KEY),
                            new byte[0],
                            4_000);
                    if (answer != null && answer.status() == 200) {
                        served.incrementAndGet();
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.note("answered with success: " + served.get());
        List<Engine.Arrival> late = leaving.arrivals().stream()
                .filter(arrival -> arrival.atMs() > boundMs)
                .toList();
        late.stream().limit(5).forEach(arrival -> Rig.note(String.format(
                "%s ran %s at %d ms, %d ms after its removal was acknowledged",
                leaving.id, arrival.attempt(), arrival.atMs(), arrival.atMs() - leftMs.get())));
        Rig.note("requests that " + leaving.id + " ran too late: " + late.size());
        if (served.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        return late.isEmpty();
    }
}
