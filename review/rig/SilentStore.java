import java.util.ArrayList;
import java.util.List;

/**
 * The store leaves two of six gateways without an answer for some seconds, several times, while it serves the others
 * and the operator. A case adds what the operator or an engine does, and checks the two gateways afterwards.
 */
abstract class SilentStore {
    static final long STABLE_MS = 3_000;
    private static final int GATEWAYS = 6;
    private static final int SHARE = 2;
    private static final long SILENCE_MS = 8_200;
    private static final int ROUNDS = 6;
    /** A silence begins this long after the store has received a watch of the first gateway that it leaves alone. */
    private static final long AFTER_WATCH_MS = 400;

    final Store store = new Store(50);
    final List<Engine> engines = new ArrayList<>();
    private final List<Store.Access> accesses = new ArrayList<>();
    private final List<Rig.Gateway> gateways = new ArrayList<>();

    /** Prepares a round before the silence. */
    abstract void prepare(int round) throws Exception;

    /** Acts one second after the silence has begun. */
    abstract void duringSilence(int round) throws Exception;

    /** Checks the gateways once they are in touch; returns how often the rule was broken. */
    abstract int check(int round, List<Rig.Gateway> returned, long inTouchMs) throws Exception;

    final boolean run() throws Exception {
        prepare(0);
        for (int number = 0; number < 4; number++) {
            engines.add(new Engine("i-" + number, Deployment.SERVICE, store, 20));
        }
        for (int number = 0; number < GATEWAYS; number++) {
            accesses.add(store.open());
            gateways.add(new Rig.Gateway("front-levis-" + (number + 1), "levis", accesses.get(number).port));
            gateways.get(number).start();
        }
        for (Rig.Gateway gateway : gateways) {
            gateway.awaitReady(30_000);
        }
        Thread.sleep(STABLE_MS);
        int broken = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            broken += round(round);
        }
        Rig.note("times that the rule was broken: " + broken);
        return broken == 0;
    }

    private int round(int round) throws Exception {
        int first = round * SHARE % GATEWAYS;
        List<Store.Access> cut = accesses.subList(first, first + SHARE);
        List<Rig.Gateway> returned = gateways.subList(first, first + SHARE);
        prepare(round);
        awaitWatch(cut.get(0));
        long beginMs = Rig.nowMs();
        if (Rig.TROUBLE) {
            cut.forEach(access -> access.setSilent(true));
            Rig.note("the store leaves " + returned.get(0).name + " and " + returned.get(1).name + " without an answer");
        }
        Rig.sleepUntil(beginMs + 1_000);
        duringSilence(round);
        Rig.sleepUntil(beginMs + SILENCE_MS);
        cut.forEach(access -> access.setSilent(false));
        long endMs = Rig.nowMs();
        if (Rig.TROUBLE) {
            Rig.note("the store answers them again, after " + (endMs - beginMs) + " ms");
        }
        Rig.sleepUntil(endMs + STABLE_MS + 20);
        return check(round, returned, endMs + STABLE_MS);
    }

    private static void awaitWatch(Store.Access access) throws InterruptedException {
        long before = access.configurationWatchMs();
        while (access.configurationWatchMs() == before) {
            Thread.sleep(5);
        }
        Rig.sleepUntil(access.configurationWatchMs() + AFTER_WATCH_MS);
    }
}
