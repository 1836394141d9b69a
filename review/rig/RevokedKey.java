import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A key is taken away while the store leaves two gateways without an answer. */
final class RevokedKey extends SilentStore {
    private static final long CHECK_MS = 1_000;

    private String revoked = "";

    public static void main(String[] arguments) {
        Rig.main(arguments[0], () -> new RevokedKey().run());
    }

    @Override
    void prepare(int round) throws Exception {
        revoked = "temporarykey" + round;
        store.put(
                "config", "main", Deployment.configuration(10 * round + 1, List.of(Deployment.KEY, revoked)));
        Thread.sleep(100);
    }

    @Override
    void duringSilence(int round) {
        store.put("config", "main", Deployment.configuration(10 * round + 4, List.of(Deployment.KEY)));
        Rig.note("version " + (10 * round + 4) + " without " + revoked + " acknowledged");
    }

    @Override
    int check(int round, List<Rig.Gateway> returned, long inTouchMs) throws Exception {
        AtomicInteger broken = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Rig.Gateway gateway : returned) {
            clients.add(Rig.start("probe", () -> broken.addAndGet(probe(round, gateway, inTouchMs))));
        }
        for (Thread client : clients) {
            client.join();
        }
        return broken.get();
    }

    private int probe(int round, Rig.Gateway gateway, long inTouchMs) throws Exception {
        int run = 0;
        for (int number = 0; Rig.nowMs() < inTouchMs + CHECK_MS; number++) {
            String attempt = gateway.name + "-" + round + "-" + number;
            long sentMs = Rig.nowMs();
            Rig.Message answer = gateway.send(
                    "GET", "/lookup/1", Deployment.headers(attempt, revoked), new byte[0], 3_500);
            int status = answer == null ? 0 : answer.status();
            boolean ran = engines.stream()
                    .anyMatch(engine -> engine.arrivals().stream()
                            .anyMatch(arrival -> arrival.attempt().equals(attempt)));
            if (number == 0 || ran) {
                Rig.note(gateway.name + ", in touch for " + (sentMs - inTouchMs) + " ms, gets " + attempt + " with "
                        + revoked + ": status " + status + (ran ? ", an engine ran it" : ", not run"));
            }
            run += ran ? 1 : 0;
            Thread.sleep(50);
        }
        return run;
    }
}
